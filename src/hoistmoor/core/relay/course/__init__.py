"""The course of one request: attempts, repeats, refusal, return.

The task of a request drives it, one machine a request.
"""

from __future__ import annotations

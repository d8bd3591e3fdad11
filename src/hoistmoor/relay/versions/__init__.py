"""Rollout records, and the task that writes the phases of rollouts.

The application starts the task; listeners decode records with the codec.
"""

from __future__ import annotations

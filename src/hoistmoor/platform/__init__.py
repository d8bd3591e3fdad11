"""The users' platform: its names, formats and calls, and nothing else.

Nothing here decides anything. What the platform says is decoded once into the
product's types; what the product says is encoded on its way out.
"""

from __future__ import annotations

"""Connections that show which servers this host reaches, and forwarding.

Tasks and handlers round ``core/relay/links``. Only the relay's application and
its front call them.
"""

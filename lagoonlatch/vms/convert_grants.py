"""Conversion of grant calls between thrift structs and frozen data classes."""

from __future__ import annotations

from lagoonlatch.limits.grants import GrantReply, GrantRequest, Settlement
from lagoonlatch.vms.generated import ttypes


def grant_request_to_thrift(request: GrantRequest) -> ttypes.GrantRequest:
    """Return the struct of a grant request."""
    settlements = [
        ttypes.Settlement(item.request_id, item.spent, item.closed or None, item.age)
        for item in request.settlements
    ]
    return ttypes.GrantRequest(
        bucket=request.bucket,
        scope=request.scope,
        wanted=request.wanted,
        vm=request.vm,
        incarnation=request.incarnation,
        request_id=request.request_id,
        ahead=request.ahead,
        between_regions=request.between_regions or None,
        settlements=settlements or None,
    )


def grant_request_from_thrift(struct: ttypes.GrantRequest) -> GrantRequest:
    """Return the grant request of a struct."""
    settlements = tuple(
        Settlement(item.request_id, item.spent, bool(item.closed), item.age or 0.0)
        for item in struct.settlements or ()
    )
    return GrantRequest(
        bucket=struct.bucket,
        scope=struct.scope,
        wanted=struct.wanted,
        vm=struct.vm,
        incarnation=struct.incarnation,
        request_id=struct.request_id,
        ahead=struct.ahead or 0.0,
        between_regions=bool(struct.between_regions),
        settlements=settlements,
    )


def grant_reply_to_thrift(reply: GrantReply) -> ttypes.GrantReply:
    """Return the struct of a grant reply."""
    return ttypes.GrantReply(
        request_id=reply.request_id,
        granted=reply.granted,
        duration=reply.duration,
        refusal=reply.refusal,
        retry_after=reply.retry_after,
    )


def grant_reply_from_thrift(struct: ttypes.GrantReply) -> GrantReply:
    """Return the grant reply of a struct."""
    return GrantReply(
        request_id=struct.request_id,
        granted=struct.granted,
        duration=struct.duration,
        refusal=struct.refusal or "",
        retry_after=struct.retry_after or 0.0,
    )

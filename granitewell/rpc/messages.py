"""The messages between nodes, loaded from internal.thrift, and their binary form."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from granitewell.model.errors import BadFrame
from granitewell.rpc.structure import check_struct

_IDL = thriftpy2.load(str(Path(__file__).with_name("internal.thrift")), "granitewell_internal_thrift")
_PROTOCOL = TBinaryProtocolFactory(strict_decode=False)

HeldModelMessage: Any = _IDL.HeldModel
ServerMessage: Any = _IDL.Server
TableVersion: Any = _IDL.TableVersion
TableUpdate: Any = _IDL.TableUpdate
ConfigurationUpdate: Any = _IDL.ConfigurationUpdate
WatchRequest: Any = _IDL.WatchRequest
WatchReply: Any = _IDL.WatchReply
Demand: Any = _IDL.Demand
DemandReport: Any = _IDL.DemandReport
GroupMessage: Any = _IDL.GroupMessage
EdgeCount: Any = _IDL.EdgeCount


def encode(message: Any) -> bytes:
    """The binary form of a message."""
    return bytes(serialize(message, _PROTOCOL))


def decode(kind: Any, data: bytes) -> Any:
    """A message of a kind from its binary form; raises BadFrame."""
    check_struct(data)
    try:
        return deserialize(kind(), data, _PROTOCOL)
    except Exception as error:  # the library raises whatever the bytes lead it to
        raise BadFrame(f"not a {kind.__name__}: {error!r}") from error

"""Messages between nodes, loaded from internal.thrift, with their encoding."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from granitewell.rpc.serialization import decode, encode, load_idl

__all__ = [
    "ConfigurationUpdate", "Demand", "DemandReport", "EdgeCount", "GroupMessage", "LoadedModelMessage",
    "ServerMessage", "TableUpdate", "TableVersion", "WatchReply", "WatchRequest", "decode", "encode",
]  # fmt: skip

_IDL = load_idl(Path(__file__).with_name("internal.thrift"))

LoadedModelMessage: Any = _IDL.LoadedModel
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

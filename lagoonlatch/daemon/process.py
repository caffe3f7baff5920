"""The life of a daemon: start, planned stop, end."""

from __future__ import annotations

import signal
from collections.abc import Callable

import gevent
import structlog
from gevent.event import Event as Signal
from gevent.pywsgi import WSGIServer

from lagoonlatch.callers.server import CallerServer, wait_until_idle
from lagoonlatch.clock import MILLIS_PER_SECOND
from lagoonlatch.daemon.build import Parts, build
from lagoonlatch.events import EventKind
from lagoonlatch.exit_codes import ExitCode
from lagoonlatch.logs import configure_logs
from lagoonlatch.operators.admin import AdminApp
from lagoonlatch.operators.status import Status
from lagoonlatch.settings import DaemonSettings
from lagoonlatch.vms.server import PeerServer

EXIT_BROKEN = 70
NOTICE_ROUNDS = 3
"""Heartbeats between the word that the VM leaves and the end of listening."""

_LOG = structlog.get_logger()


def serve(settings: DaemonSettings) -> int:
    """Run the daemon of one VM until it is stopped; return its exit code."""
    configure_logs(
        settings.log_format,
        settings.log_level,
        vm=settings.vm,
        data_centre=settings.data_centre,
    )
    return _Process(settings).run()


class _Process:
    def __init__(self, settings: DaemonSettings) -> None:
        self._settings = settings
        self._stop = Signal()
        self._parts: Parts = build(settings, superseded=self._supersede)
        self._exit_code = ExitCode.DONE
        self._tasks: list[gevent.Greenlet] = []
        address = settings.address
        self._callers = CallerServer(
            address, settings.callers_port, self._parts.callers_app
        )
        self._peers = PeerServer.from_address(
            address,
            settings.vms_port,
            self._parts.peer_handler,
            incarnation=self._parts.membership.me.incarnation,
        )
        self._operators = WSGIServer(
            (address, settings.operators_port), self._admin_app(), log=None
        )

    def run(self) -> int:
        gevent.signal_handler(signal.SIGTERM, self._stop.set)
        gevent.signal_handler(signal.SIGINT, self._stop.set)
        try:
            self._start()
        except OSError as error:
            _LOG.error("can't listen", error=str(error))
            return ExitCode.FAILED
        self._stop.wait()
        if self._exit_code == ExitCode.DONE:
            self._leave()
        return self._exit_code

    def _start(self) -> None:
        parts = self._parts
        parts.event_log.record(EventKind.VM_STARTED, self._settings.vm)
        self._peers.start()
        for task in (
            parts.membership.run,
            parts.sync.run,
            parts.ownership_reader.run,
            parts.registration.run,
            parts.limiter.run,
        ):
            self._tasks.append(self._spawn(task))
        self._operators.start()
        self._callers.start()
        _LOG.info("serving", address=self._settings.address)

    def _leave(self) -> None:
        """Take no new work, end what is in flight, hand over, end."""
        settings, parts = self._settings, self._parts
        _LOG.info("leaving")
        parts.membership.leave()
        notice = NOTICE_ROUNDS * settings.heartbeat_interval
        gevent.sleep(notice / MILLIS_PER_SECOND)
        self._callers.close_listener()
        wait_until_idle(self._callers.in_flight, settings.drain_deadline)
        # Before the slots are given away: the next owner would know of what still
        # runs here only by the upstreams' reports, which may lag.
        with gevent.Timeout(settings.drain_deadline / MILLIS_PER_SECOND, False):
            parts.owner.drain()
        parts.scopes.hand_over()
        # Others go on sending here until they have heard of the new owners; until
        # then they are answered "leaving", which is not run.
        gevent.sleep(notice / MILLIS_PER_SECOND)
        self._peers.stop(settings.drain_deadline)
        parts.registration.stop()
        self._callers.stop()
        gevent.killall(self._tasks)
        parts.scopes.stop()
        parts.event_log.record(EventKind.VM_STOPPED, settings.vm)
        _LOG.info("stopped")

    def _spawn(self, task: Callable[[], None]) -> gevent.Greenlet:
        """Start a task that must not end by an exception."""
        greenlet = gevent.spawn(task)
        greenlet.link_exception(self._break)
        return greenlet

    def _break(self, greenlet: gevent.Greenlet) -> None:
        _LOG.error("a task ended by an error", error=repr(greenlet.exception))
        self._exit_code = EXIT_BROKEN
        self._stop.set()

    def _supersede(self) -> None:
        _LOG.error("a newer run of this VM answers; ending at once")
        self._exit_code = ExitCode.FAILED
        self._stop.set()

    def _admin_app(self) -> AdminApp:
        parts = self._parts
        return AdminApp(
            self._status, parts.event_log.since, self._stop.set, parts.render_metrics
        )

    def _status(self) -> Status:
        settings, parts = self._settings, self._parts
        me = parts.membership.me
        return Status(
            vm=settings.vm,
            incarnation=me.incarnation,
            data_centre=settings.data_centre,
            region=settings.region,
            configuration_version=parts.holder.head().version,
            configuration_change_id=parts.holder.head().change.change_id,
            leaving=me.leaving,
            peers_alive=tuple(
                vm.id for vm in parts.membership.alive() if vm.id != me.id
            ),
            owned_slots_by_scope={
                scope: len(slots) for scope, slots in parts.scopes.owned_slots().items()
            },
            in_flight=self._callers.in_flight(),
        )

import {Effect} from 'effect';
import {Logger} from '@greengagecross/common';
import type {HttpServer} from '@greengagecross/http';
import type {DaemonParts} from '../wiring/daemon_parts.js';

/** Margin for callers' clocks and network delays in the drain delay. */
const CALLER_MARGIN_MS = 500;
/** Maximum wait for the server to stop after the requests were ended. */
const FORCED_STOP_TIMEOUT_MS = 3000;
/** How long new requests are still refused with an answer. */
const REFUSAL_PERIOD_MS = 500;
const logger = new Logger('stopping');

/**
 * Stops a daemon; ends no request before the grace period has passed.
 *
 * The sequence matters: peers stop naming this daemon in directory answers;
 * directory answers and connections that callers keep expire while requests are
 * still served; only then does the listener close and the remaining requests
 * end.
 */
export class GracefulStop {
  constructor(
    private readonly parts: DaemonParts,
    private readonly callers: HttpServer,
    private readonly keepAliveMs: number,
  ) {}

  /**
   * Stops the daemon; waits for the requests in flight up to `stopGraceMs` or
   * the longest deadline of a service, whichever is longer.
   */
  run(): Effect.Effect<void> {
    const {members, tuning} = this.parts;
    return Effect.gen({self: this}, function* () {
      this.callers.setClosing();
      yield* members.reportToPeers();
      // After this delay a peer that missed the update has declared this daemon
      // silent.
      yield* Effect.sleep(this.computeDrainDelayMs());
      yield* this.callers
        .stop()
        .pipe(Effect.timeoutOption(this.computeGraceMs()));
      // The last slot releases are still in transit to other daemons.
      yield* Effect.sleep(tuning.peerTimeoutMs);
    });
  }

  /**
   * Refuses new requests, closes the listener and waits briefly until the
   * callers of ended requests have been answered. Does nothing after a complete
   * graceful stop.
   */
  finishForcedStop(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      if (!this.callers.isListening()) return;
      logger.log('The requests in flight are ended before they complete.', {
        requests: this.callers.countActive(),
      });
      this.callers.setClosing();
      // New requests get a refusal meanwhile instead of a closed connection.
      yield* Effect.sleep(REFUSAL_PERIOD_MS);
      yield* this.callers
        .stop()
        .pipe(Effect.timeoutOption(FORCED_STOP_TIMEOUT_MS));
    });
  }

  /** How long callers may use earlier directory answers or connections. */
  private computeDrainDelayMs(): number {
    const {directoryKeepMs, heartbeatMs} = this.parts.tuning;
    const reuseMs = Math.max(directoryKeepMs, this.keepAliveMs);
    return reuseMs + heartbeatMs + CALLER_MARGIN_MS;
  }

  /**
   * Maximum wait for requests in flight: at least the longest deadline of a
   * service, as no caller waits beyond it.
   */
  private computeGraceMs(): number {
    const services = this.parts.configuration.getView()?.listServices() ?? [];
    const deadlines = services.map(service => service.deadlineMs);
    return Math.max(this.parts.tuning.stopGraceMs, ...deadlines);
  }
}

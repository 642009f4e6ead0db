import {Effect} from 'effect';
import {Logger} from '@greengagecross/common';
import type {HttpServer} from '@greengagecross/http';
import type {DaemonParts} from '../wiring/daemon_parts.js';

/** Time for a caller's clock and the network, on top of what it was told. */
const CALLER_MARGIN_MS = 500;
const CUT_LIMIT_MS = 3000;
const REFUSE_MS = 500;
const logger = new Logger('stopping');

/**
 * Ends a daemon's service to callers without cutting a request.
 *
 * The order matters: peers stop naming this daemon; answers and connections
 * that callers keep run out while requests are still served; only then does
 * the listener close and the rest end.
 */
export class GracefulStop {
  constructor(
    private readonly parts: DaemonParts,
    private readonly callers: HttpServer,
    private readonly keepAliveMs: number,
  ) {}

  /** Waits for every request in flight, but for no caller beyond its deadline. */
  run(): Effect.Effect<void> {
    const {members, tuning} = this.parts;
    return Effect.gen({self: this}, function* () {
      this.callers.setClosing();
      yield* members.reportToPeers();
      // A peer that missed the news takes this daemon for silent by then.
      yield* Effect.sleep(this.computeLingerMs());
      yield* this.callers
        .stop()
        .pipe(Effect.timeoutOption(this.computeGraceMs()));
      // The last releases of slots are still on their way to other daemons.
      yield* Effect.sleep(tuning.peerTimeoutMs);
    });
  }

  /** Waits shortly until the requests that were ended have been told so. */
  finishCut(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      if (!this.callers.isListening()) return;
      logger.log('Requests in flight are ended.', {
        requests: this.callers.countActive(),
      });
      this.callers.setClosing();
      // What arrives meanwhile is refused in words instead of being cut.
      yield* Effect.sleep(REFUSE_MS);
      yield* this.callers.stop().pipe(Effect.timeoutOption(CUT_LIMIT_MS));
    });
  }

  /** How long callers may still come by what they were told earlier. */
  private computeLingerMs(): number {
    const {directoryKeepMs, heartbeatMs} = this.parts.tuning;
    const keptMs = Math.max(directoryKeepMs, this.keepAliveMs);
    return keptMs + heartbeatMs + CALLER_MARGIN_MS;
  }

  /** No caller waits beyond its service's deadline. */
  private computeGraceMs(): number {
    const services = this.parts.configuration.getView()?.listServices() ?? [];
    const deadlines = services.map(service => service.deadlineMs);
    return Math.max(this.parts.tuning.stopGraceMs, ...deadlines);
  }
}

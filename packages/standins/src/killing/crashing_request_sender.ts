import {HeaderName} from '@greengagecross/common';
import {makeIdempotencyKey} from '../callers/make_idempotency_key.js';
import {CRASH_MARKER} from '../faults.js';
import {
  PlannedService,
  type CustomerPlan,
  type DaemonPlan,
} from '../fleet/fleet_plan.js';

/** Kinds of requests that crash each backend server that runs them. */
export enum CrashingKind {
  CHAT = 'chat',
  STREAM = 'streamed chat',
  LOOKUP = 'lookup',
  RESERVATION = 'reservation with a new key each time',
}

/** A daemon's reply to one send; texts are empty when absent. */
export interface CrashingReply {
  readonly status: number;
  readonly outcome: string;
  readonly reason: string;
  readonly hasRetryAfter: boolean;
}

const TIMEOUT_MS = 60_000;
const BOOKING_PATH = `/v1/services/${PlannedService.BOOKING}`;

/** Sends the same crashing request, each time as a new request. */
export class CrashingRequestSender {
  constructor(
    private readonly kind: CrashingKind,
    private readonly customer: CustomerPlan,
  ) {}

  /** Sends the request through one daemon; throws after TIMEOUT_MS. */
  async send(daemon: DaemonPlan): Promise<CrashingReply> {
    const {host, port} = daemon.caller;
    const {method, path, body} = this.makeCall();
    const reply = await fetch(`http://${host}:${port}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${this.customer.key}`,
        [HeaderName.CUSTOMER]: this.customer.id,
        [HeaderName.CHAT]: CRASH_MARKER,
        [HeaderName.IDEMPOTENCY_KEY]: makeIdempotencyKey(Date.now()),
        'content-type': 'application/json',
      },
      signal: AbortSignal.timeout(TIMEOUT_MS),
      ...(body === undefined ? {} : {body}),
    });
    await reply.text();
    return {
      status: reply.status,
      outcome: reply.headers.get(HeaderName.OUTCOME) ?? '',
      reason: reply.headers.get(HeaderName.REASON) ?? '',
      hasRetryAfter: reply.headers.has(HeaderName.RETRY_AFTER),
    };
  }

  private makeCall() {
    switch (this.kind) {
      case CrashingKind.CHAT:
      case CrashingKind.STREAM: {
        const body = JSON.stringify({
          model: PlannedService.ASSISTANT,
          messages: [{role: 'user', content: CRASH_MARKER}],
          metadata: {workId: CRASH_MARKER},
          stream: this.kind === CrashingKind.STREAM,
        });
        return {method: 'POST', path: '/v1/chat/completions', body};
      }
      case CrashingKind.LOOKUP: {
        const path = `${BOOKING_PATH}/cloths?name=${CRASH_MARKER}`;
        return {method: 'GET', path, body: undefined};
      }
      case CrashingKind.RESERVATION: {
        const body = JSON.stringify({workId: CRASH_MARKER});
        return {method: 'POST', path: `${BOOKING_PATH}/reservations`, body};
      }
    }
  }
}

import {Effect, Result} from 'effect';
import {HeaderName, type Outcome} from '@greengagecross/common';
import {HttpClient} from '@greengagecross/http';
import type {CustomerPlan, DaemonPlan} from '../fleet/fleet_plan.js';
import {PlannedService} from '../fleet/fleet_plan.js';

const CONNECT_TIMEOUT_MS = 2000;
const SILENCE_MS = 20_000;

/** One reservation as it is sent to a daemon. */
export interface Reservation {
  readonly workId: string;
  /** Idempotency key; undefined to send the request without one. */
  readonly key: string | undefined;
  readonly customer: CustomerPlan;
}

/** Reply of a daemon to one reservation; texts are empty when absent. */
export interface ReservationReply {
  /** Undefined when the connection ended without a reply. */
  readonly outcome: Outcome | undefined;
  readonly reason: string;
  readonly requestId: string;
  readonly message: string;
  /** Work id in the answer's body. */
  readonly workId: string;
}

const NO_REPLY: ReservationReply = {
  outcome: undefined,
  reason: '',
  requestId: '',
  message: '',
  workId: '',
};

/** Sends reservations to given daemons over HTTP. */
export class ReservationSender {
  private readonly client = new HttpClient();

  /** Sends a reservation once; a lost connection returns an empty reply. */
  async send(
    daemon: DaemonPlan,
    reservation: Reservation,
    signal?: AbortSignal,
  ): Promise<ReservationReply> {
    const {workId, key, customer} = reservation;
    const sending = this.client.send({
      address: daemon.caller,
      method: 'POST',
      path: `/v1/services/${PlannedService.BOOKING}/reservations`,
      headers: {
        authorization: `Bearer ${customer.key}`,
        [HeaderName.CUSTOMER]: customer.id,
        'content-type': 'application/json',
        ...(key === undefined ? {} : {[HeaderName.IDEMPOTENCY_KEY]: key}),
      },
      body: JSON.stringify({workId}),
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      silenceMs: SILENCE_MS,
    });
    const options = signal === undefined ? {} : {signal};
    const result = await Effect.runPromise(Effect.result(sending), options);
    if (Result.isFailure(result)) return NO_REPLY;
    const {headers, body} = result.success;
    const answer = JSON.parse(body.toString()) as {
      readonly workId?: string;
      readonly error?: {readonly message: string};
    };
    return {
      outcome: headers[HeaderName.OUTCOME] as Outcome | undefined,
      reason: String(headers[HeaderName.REASON] ?? ''),
      requestId: String(headers[HeaderName.REQUEST_ID] ?? ''),
      message: answer.error?.message ?? '',
      workId: answer.workId ?? '',
    };
  }

  /** Closes all connections. */
  close(): void {
    this.client.close();
  }
}

import {Schema} from 'effect';
import {AddressSchema} from '@greengagecross/common';
import type {BackendServer} from '../model/backend_server.js';

/** A backend server in messages between daemons. */
export const BackendSchema = Schema.Struct({
  id: Schema.String,
  service: Schema.String,
  address: AddressSchema,
  availabilityZone: Schema.String,
  slots: Schema.Number,
  isDraining: Schema.Boolean,
  startedAtMs: Schema.Number,
  /** Only for receivers that ask for it: earlier releases reject it. */
  coldReport: Schema.optionalKey(
    Schema.Struct({
      /** Remaining cold time according to the entry, in milliseconds. */
      remainingMs: Schema.Number,
      /** Time since the entry was received from the store, in milliseconds. */
      ageMs: Schema.Number,
      entryRevision: Schema.Number,
    }),
  ),
});

/** Decoded form of {@link BackendSchema}. */
export type BackendMessage = typeof BackendSchema.Type;

/** Makes the message for a server; `nowMs` is on the monotonic clock. */
export function makeBackendMessage(
  {coldReport, ...server}: BackendServer,
  isColdReportIncluded: boolean,
  nowMs: number,
): BackendMessage {
  if (coldReport === undefined || !isColdReportIncluded) return server;
  const {remainingMs, receivedAtMs, entryRevision} = coldReport;
  const ageMs = Math.max(0, Math.round(nowMs - receivedAtMs));
  return {...server, coldReport: {remainingMs, ageMs, entryRevision}};
}

/** Reads the server in a message; `nowMs` is on the monotonic clock. */
export function toBackendServer(
  {coldReport, ...server}: BackendMessage,
  nowMs: number,
): BackendServer {
  if (coldReport === undefined) return server;
  const {remainingMs, ageMs, entryRevision} = coldReport;
  const receivedAtMs = nowMs - ageMs;
  return {...server, coldReport: {remainingMs, receivedAtMs, entryRevision}};
}

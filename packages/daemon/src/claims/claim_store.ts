import {Clock, Effect, Latch, Result} from 'effect';
import {decodeJson, Logger, toError} from '@greengagecross/common';
import {
  ABSENT_VERSION,
  PlatformError,
  PlatformFailure,
  type TableRow,
} from '@greengagecross/platform';
import {makeClaimKey, type ClaimName} from './claim_key.js';
import {
  ClaimRecordSchema,
  ClaimState,
  type ClaimRecord,
} from './claim_record.js';
import type {GroupCommit} from './group_commit.js';

/**
 * Maximum number of writes for one claim or final record; each but the first
 * follows a conflict with another write of the row.
 */
const MAX_TRIES = 3;
const RETRY_INTERVAL_MS = 500;
const MAX_PENDING_CLAIMS = 1000;
const logger = new Logger('claims');

/** Identity of a claim and the request that makes the claim. */
export interface ClaimRequest extends ClaimName {
  readonly requestDigest: string;
  /** Id of the request that claims; unique among all requests. */
  readonly token: string;
  /** Milliseconds since the epoch. */
  readonly nowMs: number;
}

/**
 * Current claim of an idempotency key, made by this request (`isOwn`) or by an
 * earlier one. `key` is the key of the claim's row, not the idempotency key.
 */
export interface Claim {
  readonly key: string;
  readonly version: number;
  readonly record: ClaimRecord;
  readonly isOwn: boolean;
}

/**
 * Claims idempotency keys in the table service, so that the work of each key
 * runs at most once.
 */
export class ClaimStore {
  /**
   * Claims whose final records are still to be written, by token, least
   * recently added first. Beyond `MAX_PENDING_CLAIMS` the first is dropped; a
   * claimed row then stays claimed, and its idempotency key is refused as in
   * use until the key expires.
   */
  private readonly pending = new Map<string, Claim>();
  private pendingSinceMs: number | undefined;
  private readonly hasPending = Latch.makeUnsafe(false);

  constructor(private readonly commits: GroupCommit) {}

  /**
   * Claims a key for this request, or returns the earlier claim of the key.
   *
   * Succeeds only when the row of the claim is known to be stored; otherwise
   * fails. A claim is never taken over, because a holder that seems gone may
   * still dispatch. Rows are not deleted while their key is accepted. So a write
   * that arrives after the row was written for another request finds a newer
   * version of the row and is refused.
   */
  claim(request: ClaimRequest): Effect.Effect<Claim, PlatformError> {
    const key = makeClaimKey(request);
    const record = makeRecord(request);
    return Effect.gen({self: this}, function* () {
      let version = ABSENT_VERSION;
      for (let tries = 0; tries < MAX_TRIES; tries += 1) {
        const value = JSON.stringify(record);
        const result = yield* Effect.result(
          this.commits.write({key, version, value}),
        );
        if (Result.isFailure(result)) {
          yield* this.releaseLater(
            {key, version, record, isOwn: true},
            result.failure,
          );
          return yield* Effect.fail(result.failure);
        }
        const {committed, currentRow} = result.success;
        if (committed) return {key, version: version + 1, record, isOwn: true};
        if (currentRow === undefined) break;
        const claim = yield* readClaim(currentRow);
        if (claim.record.state !== ClaimState.RELEASED) return claim;
        version = claim.version;
      }
      return yield* Effect.fail(
        new PlatformError(PlatformFailure.REFUSED, 'claim'),
      );
    });
  }

  /** Writes the final record of a claim; retries later when a write fails. */
  record(claim: Claim, finalRecord: ClaimRecord): Effect.Effect<void> {
    const ended = {...claim, record: finalRecord};
    return this.write(ended).pipe(
      Effect.catch(error =>
        Effect.suspend(() => {
          if (this.pending.size === 0) {
            logger.log('A claim record could not be written; retrying.', {
              error: error.message,
            });
          }
          return this.addPending(ended);
        }),
      ),
    );
  }

  /**
   * Frees the key of this request's own claim. The call must not have been
   * dispatched and must not be dispatched afterwards.
   */
  release(claim: Claim): Effect.Effect<void> {
    return this.record(claim, toReleasedRecord(claim.record));
  }

  /** Counts the claims whose final records are still to be written. */
  countPending(): number {
    return this.pending.size;
  }

  /**
   * Returns when final records began to be pending, in milliseconds since the
   * epoch; undefined when none are.
   */
  getPendingSinceMs(): number | undefined {
    return this.pendingSinceMs;
  }

  /** Writes pending records for as long as the daemon runs. */
  run(): Effect.Effect<never> {
    return Effect.gen({self: this}, function* () {
      for (;;) {
        yield* this.hasPending.await;
        yield* Effect.sleep(RETRY_INTERVAL_MS);
        yield* Effect.forEach(
          [...this.pending.values()],
          claim => this.writePending(claim),
          {concurrency: 'unbounded'},
        );
        if (this.pending.size > 0) continue;
        logger.log('No claim records are pending any more.');
        this.pendingSinceMs = undefined;
        this.hasPending.closeUnsafe();
      }
    });
  }

  private writePending(claim: Claim): Effect.Effect<void> {
    return this.write(claim).pipe(
      Effect.map(() => {
        const {token} = claim.record;
        if (this.pending.get(token) === claim) this.pending.delete(token);
      }),
      Effect.ignore,
    );
  }

  /** Writes a claim's record, unless the row belongs to another request. */
  private write(claim: Claim): Effect.Effect<void, PlatformError> {
    const {key, record} = claim;
    const value = JSON.stringify(record);
    return Effect.gen({self: this}, function* () {
      let {version} = claim;
      for (let tries = 0; tries < MAX_TRIES; tries += 1) {
        const result = yield* this.commits.write({key, version, value});
        // An absent row was deleted because its key had expired.
        if (result.committed || result.currentRow === undefined) return;
        const current = yield* readClaim(result.currentRow);
        if (current.record.token !== record.token) return;
        version = current.version;
      }
    });
  }

  /**
   * Releases a claim whose write had an uncertain outcome: the row may have
   * been written although this request will not use the claim.
   */
  private releaseLater(
    claim: Claim,
    error: PlatformError,
  ): Effect.Effect<void> {
    if (error.failure !== PlatformFailure.UNCERTAIN) return Effect.void;
    return this.addPending({...claim, record: toReleasedRecord(claim.record)});
  }

  private addPending(claim: Claim): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      const {token} = claim.record;
      this.pendingSinceMs ??= nowMs;
      this.pending.delete(token);
      this.pending.set(token, claim);
      this.hasPending.openUnsafe();
      if (this.pending.size <= MAX_PENDING_CLAIMS) return;
      const [oldest] = this.pending.keys();
      if (oldest !== undefined) this.pending.delete(oldest);
    });
  }
}

function toReleasedRecord(record: ClaimRecord): ClaimRecord {
  return {...record, state: ClaimState.RELEASED};
}

function makeRecord(request: ClaimRequest): ClaimRecord {
  return {
    token: request.token,
    requestDigest: request.requestDigest,
    state: ClaimState.CLAIMED,
    claimedAtMs: request.nowMs,
    status: 0,
    contentType: '',
    body: '',
  };
}

function readClaim(row: TableRow): Effect.Effect<Claim, PlatformError> {
  return Effect.try({
    try: () => {
      const record = decodeJson(ClaimRecordSchema, row.value, 'claim');
      return {key: row.key, version: row.version, record, isOwn: false};
    },
    catch: thrown =>
      new PlatformError(PlatformFailure.REFUSED, 'claim', toError(thrown)),
  });
}

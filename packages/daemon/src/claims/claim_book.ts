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

const CLAIM_TRIES = 3;
const RETRY_PENDING_MS = 500;
const MAX_PENDING = 1000;
const logger = new Logger('claims');

/** What names a claim and what it was made for. */
export interface ClaimRequest extends ClaimName {
  readonly requestDigest: string;
  /** Id of this attempt; no other attempt has it. */
  readonly token: string;
  readonly nowMs: number;
}

/** A claim as it stands: this attempt's own, or an earlier one's. */
export interface Claim {
  readonly key: string;
  readonly version: number;
  readonly record: ClaimRecord;
  readonly isOwn: boolean;
}

/** Claims idempotency keys in the table service, so that work runs once. */
export class ClaimBook {
  /** Ends of claims still to be written, by token, the oldest first. */
  private readonly pending = new Map<string, Claim>();
  private pendingSinceMs: number | undefined;
  private readonly hasPending = Latch.makeUnsafe(false);

  constructor(private readonly commits: GroupCommit) {}

  /**
   * Claims a key for this attempt, or finds who has it.
   *
   * Succeeds only when the claim is known to stand. No claim is ever taken
   * over: a holder that seems gone may still dispatch. Rows are not deleted
   * while their key is honoured, so a write that arrives late finds its
   * condition broken.
   */
  claim(request: ClaimRequest): Effect.Effect<Claim, PlatformError> {
    const key = makeClaimKey(request);
    const record = makeRecord(request);
    return Effect.gen({self: this}, function* () {
      let version = ABSENT_VERSION;
      for (let tries = 0; tries < CLAIM_TRIES; tries += 1) {
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
        const {committed, standing} = result.success;
        if (committed) return {key, version: version + 1, record, isOwn: true};
        if (standing === undefined) break;
        const claim = yield* readClaim(standing);
        if (claim.record.state !== ClaimState.RELEASED) return claim;
        version = claim.version;
      }
      return yield* Effect.fail(
        new PlatformError(PlatformFailure.REFUSED, 'claim'),
      );
    });
  }

  /** Records how the work ended; what fails is tried again later. */
  record(claim: Claim, record: ClaimRecord): Effect.Effect<void> {
    const ended = {...claim, record};
    return this.write(ended).pipe(
      Effect.catch(error =>
        Effect.suspend(() => {
          if (this.pending.size === 0) {
            logger.log('Claims wait to be written.', {error: error.message});
          }
          return this.addPending(ended);
        }),
      ),
    );
  }

  /** Frees the key of this attempt's own claim: it dispatches nothing. */
  release(claim: Claim): Effect.Effect<void> {
    return this.record(claim, toReleased(claim.record));
  }

  /** Counts the ends of claims that are still to be written. */
  countPending(): number {
    return this.pending.size;
  }

  /** Tells since when ends of claims wait to be written, if any do. */
  getPendingSinceMs(): number | undefined {
    return this.pendingSinceMs;
  }

  /** Writes pending ends for as long as the daemon runs. */
  run(): Effect.Effect<never> {
    return Effect.gen({self: this}, function* () {
      for (;;) {
        yield* this.hasPending.await;
        yield* Effect.sleep(RETRY_PENDING_MS);
        yield* Effect.forEach(
          [...this.pending.values()],
          claim => this.writePending(claim),
          {concurrency: 'unbounded'},
        );
        if (this.pending.size > 0) continue;
        logger.log('No claim waits to be written.');
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

  /** Writes a claim's record over this attempt's own row only. */
  private write(claim: Claim): Effect.Effect<void, PlatformError> {
    const {key, record} = claim;
    const value = JSON.stringify(record);
    return Effect.gen({self: this}, function* () {
      let {version} = claim;
      for (let tries = 0; tries < CLAIM_TRIES; tries += 1) {
        const result = yield* this.commits.write({key, version, value});
        if (result.committed || result.standing === undefined) return;
        const standing = yield* readClaim(result.standing);
        if (standing.record.token !== record.token) return;
        version = standing.version;
      }
    });
  }

  /** A claim that may stand although nobody will use it is released later. */
  private releaseLater(
    claim: Claim,
    error: PlatformError,
  ): Effect.Effect<void> {
    if (error.failure !== PlatformFailure.UNCERTAIN) return Effect.void;
    return this.addPending({...claim, record: toReleased(claim.record)});
  }

  private addPending(claim: Claim): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      const {token} = claim.record;
      this.pendingSinceMs ??= nowMs;
      this.pending.delete(token);
      this.pending.set(token, claim);
      this.hasPending.openUnsafe();
      if (this.pending.size <= MAX_PENDING) return;
      const [oldest] = this.pending.keys();
      if (oldest !== undefined) this.pending.delete(oldest);
    });
  }
}

function toReleased(record: ClaimRecord): ClaimRecord {
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

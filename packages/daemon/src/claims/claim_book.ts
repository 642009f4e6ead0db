import {Effect, Result} from 'effect';
import {decodeJson, Logger, toError} from '@greengagecross/common';
import {
  ABSENT_VERSION,
  computeDigest,
  PlatformError,
  PlatformFailure,
  type TableRow,
  type TableService,
} from '@greengagecross/platform';
import {
  ClaimRecordSchema,
  ClaimState,
  type ClaimRecord,
} from './claim_record.js';

const CLAIM_TRIES = 3;
const logger = new Logger('claims');

/** What names a claim and what it was made for. */
export interface ClaimRequest {
  readonly customer: string;
  readonly service: string;
  readonly idempotencyKey: string;
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
  constructor(private readonly table: TableService) {}

  /**
   * Claims a key for this attempt, or finds who has it.
   *
   * Succeeds only when the claim is known to stand. No claim is ever taken
   * over: a holder that seems gone may still dispatch.
   */
  claim(request: ClaimRequest): Effect.Effect<Claim, PlatformError> {
    return this.tryClaim(request, CLAIM_TRIES);
  }

  /** Records how the work ended. */
  record(claim: Claim, record: ClaimRecord): Effect.Effect<void> {
    return this.table
      .transact({
        conditions: [{key: claim.key, version: claim.version}],
        writes: [{key: claim.key, value: JSON.stringify(record)}],
        deletes: [],
      })
      .pipe(
        Effect.retry({times: CLAIM_TRIES}),
        Effect.asVoid,
        Effect.catch(error => logFailure('A claim was not recorded.', error)),
      );
  }

  /** Removes this attempt's own claim after nothing was dispatched. */
  remove(claim: Claim): Effect.Effect<void> {
    return this.table
      .transact({
        conditions: [{key: claim.key, version: claim.version}],
        writes: [],
        deletes: [claim.key],
      })
      .pipe(
        Effect.retry({times: CLAIM_TRIES}),
        Effect.asVoid,
        Effect.catch(error => logFailure('A claim was not removed.', error)),
      );
  }

  private tryClaim(
    request: ClaimRequest,
    triesLeft: number,
  ): Effect.Effect<Claim, PlatformError> {
    const key = makeClaimKey(request);
    const record = makeRecord(request);
    return Effect.gen({self: this}, function* () {
      const result = yield* Effect.result(
        this.table.transact({
          conditions: [{key, version: ABSENT_VERSION}],
          writes: [{key, value: JSON.stringify(record)}],
          deletes: [],
        }),
      );
      if (Result.isFailure(result)) {
        // Sent again, the same token is recognized if the first did apply.
        if (triesLeft <= 1) return yield* Effect.fail(result.failure);
        return yield* this.tryClaim(request, triesLeft - 1);
      }
      const standing = result.success.conflicts[0];
      if (result.success.committed) {
        return {key, version: 1, record, isOwn: true};
      }
      if (standing === undefined) {
        return yield* Effect.fail(
          new PlatformError(PlatformFailure.REFUSED, 'claim'),
        );
      }
      return yield* readClaim(standing, request.token);
    });
  }
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

function makeClaimKey(request: ClaimRequest): string {
  const {customer, service, idempotencyKey} = request;
  const name = JSON.stringify([customer, service, idempotencyKey]);
  return `claim/${computeDigest(name)}`;
}

function readClaim(
  row: TableRow,
  token: string,
): Effect.Effect<Claim, PlatformError> {
  return Effect.try({
    try: () => {
      const record = decodeJson(ClaimRecordSchema, row.value, 'claim');
      const {key, version} = row;
      return {key, version, record, isOwn: record.token === token};
    },
    catch: thrown =>
      new PlatformError(PlatformFailure.REFUSED, 'claim', toError(thrown)),
  });
}

function logFailure(
  sentence: string,
  error: PlatformError,
): Effect.Effect<void> {
  return Effect.sync(() => logger.log(sentence, {error: error.message}));
}

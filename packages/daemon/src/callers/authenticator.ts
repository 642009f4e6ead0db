import {Effect} from 'effect';
import {
  HeaderName,
  parseBearer,
  OutcomeReason,
  verifyCustomerKey,
  type KeyHash,
} from '@greengagecross/common';
import type {HttpExchange} from '@greengagecross/http';
import type {ConfigurationFollower} from '../configuration/configuration_follower.js';
import type {Caller} from './caller.js';
import {makeNotRun, type Refusal} from './refusal.js';

const RETRY_AFTER_MS = 1000;

/**
 * The key of an unknown customer is checked against these hashes, so that the
 * check takes as long as for a known customer.
 */
const DUMMY_KEY_HASHES: readonly KeyHash[] = [
  {salt: 'none', hash: 'A'.repeat(43)},
];

/** Authenticates callers by their customer id and key. */
export class Authenticator {
  constructor(private readonly configuration: ConfigurationFollower) {}

  /**
   * Verifies the customer's key. Fails as unauthorized when the customer is
   * unknown or the key is invalid, and with 503 without a configuration.
   */
  verify(exchange: HttpExchange): Effect.Effect<Caller, Refusal> {
    const view = this.configuration.getView();
    if (view === undefined) {
      return Effect.fail(
        makeNotRun(
          OutcomeReason.NO_CONFIGURATION,
          503,
          'this daemon has no configuration yet',
          RETRY_AFTER_MS,
        ),
      );
    }
    const id = exchange.getHeader(HeaderName.CUSTOMER) ?? '';
    const key = parseBearer(exchange.getHeader('authorization')) ?? '';
    const customer = view.findCustomer(id);
    const isValid = verifyCustomerKey(
      key,
      customer?.keyHashes ?? DUMMY_KEY_HASHES,
    );
    if (customer === undefined || !isValid) {
      return Effect.fail(
        makeNotRun(
          OutcomeReason.UNAUTHORIZED,
          401,
          'the customer or its key is not valid',
        ),
      );
    }
    return Effect.succeed({customer, view});
  }
}

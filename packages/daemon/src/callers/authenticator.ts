import {Effect} from 'effect';
import {
  HeaderName,
  parseBearer,
  RefusalReason,
  verifyCustomerKey,
  type KeyHash,
} from '@greengagecross/common';
import type {HttpExchange} from '@greengagecross/http';
import type {ConfigurationFollower} from '../configuration/configuration_follower.js';
import type {Caller} from './caller.js';
import {makeNotRun, type Refusal} from './refusal.js';

const RETRY_WITHOUT_CONFIGURATION_MS = 1000;

/** Compared with for an unknown customer, so that it takes as long. */
const NO_KEY: readonly KeyHash[] = [{salt: 'none', hash: 'A'.repeat(43)}];

/** Verifies who sends a request. */
export class Authenticator {
  constructor(private readonly configuration: ConfigurationFollower) {}

  /** Verifies the customer's key; any doubt is refused as unauthorized. */
  verify(exchange: HttpExchange): Effect.Effect<Caller, Refusal> {
    const view = this.configuration.getView();
    if (view === undefined) {
      return Effect.fail(
        makeNotRun(
          RefusalReason.NO_CONFIGURATION,
          503,
          'this daemon has no configuration yet',
          RETRY_WITHOUT_CONFIGURATION_MS,
        ),
      );
    }
    const id = exchange.getHeader(HeaderName.CUSTOMER) ?? '';
    const key = parseBearer(exchange.getHeader('authorization')) ?? '';
    const customer = view.findCustomer(id);
    const isValid = verifyCustomerKey(key, customer?.keyHashes ?? NO_KEY);
    if (customer === undefined || !isValid) {
      return Effect.fail(
        makeNotRun(
          RefusalReason.UNAUTHORIZED,
          401,
          'the customer or its key is not valid',
        ),
      );
    }
    return Effect.succeed({customer, view});
  }
}

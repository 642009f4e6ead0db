import {Effect} from 'effect';
import {
  HeaderName,
  makeRandomId,
  OutcomeReason,
  ServiceKind,
  type Service,
} from '@greengagecross/common';
import type {HttpExchange} from '@greengagecross/http';
import type {Authenticator} from './authenticator.js';
import type {Caller} from './caller.js';
import type {CustomerRequestLimiter} from './customer_request_limiter.js';
import {readRequest} from './read_request.js';
import {makeNotRun, type Refusal} from './refusal.js';
import type {RepeatableDispatcher} from './repeatable_dispatcher.js';
import type {ServiceJob} from './service_job.js';
import type {AtMostOnceDispatcher} from './at_most_once_dispatcher.js';

/** Path prefix of the calls of plain services. */
export const SERVICE_PREFIX = '/v1/services/';

const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);

/** Answers calls of plain services, with any method and path. */
export class ServiceHandler {
  constructor(
    private readonly authenticator: Authenticator,
    private readonly repeatable: RepeatableDispatcher,
    private readonly atMostOnce: AtMostOnceDispatcher,
    private readonly requestLimiter: CustomerRequestLimiter,
  ) {}

  /** Answers `/v1/services/NAME/…`; the rest of the path is forwarded. */
  handle(
    exchange: HttpExchange,
    requestId: string,
  ): Effect.Effect<void, Refusal> {
    return Effect.gen({self: this}, function* () {
      const caller = yield* this.authenticator.verify(exchange);
      const rest = (exchange.request.url ?? '').slice(SERVICE_PREFIX.length);
      const slash = rest.indexOf('/');
      const name = slash < 0 ? rest : rest.slice(0, slash);
      const path = slash < 0 ? '/' : rest.slice(slash);
      const service = yield* findService(caller, name);
      const body = yield* readRequest(exchange);
      const job: ServiceJob = {
        exchange,
        requestId,
        customer: caller.customer,
        service,
        chat: exchange.getHeader(HeaderName.CHAT) ?? makeRandomId(),
        request: {
          method: exchange.method,
          path,
          headers: buildForwardHeaders(exchange),
          body,
        },
      };
      const dispatching = isRepeatable(service, exchange.method, path)
        ? this.repeatable.dispatch(job)
        : this.atMostOnce.dispatch(job);
      yield* this.requestLimiter.run(caller.customer, dispatching);
    });
  }
}

function isRepeatable(service: Service, method: string, path: string): boolean {
  if (SAFE_METHODS.has(method)) return true;
  return !service.nonRepeatablePaths.some(prefix => path.startsWith(prefix));
}

function buildForwardHeaders(exchange: HttpExchange): Record<string, string> {
  const contentType = exchange.getHeader('content-type');
  const accept = exchange.getHeader('accept');
  return {
    ...(contentType === undefined ? {} : {'content-type': contentType}),
    ...(accept === undefined ? {} : {accept}),
  };
}

function findService(
  caller: Caller,
  name: string,
): Effect.Effect<Service, Refusal> {
  const service = caller.view.findService(name);
  if (service?.kind !== ServiceKind.PLAIN) {
    return Effect.fail(
      makeNotRun(OutcomeReason.UNKNOWN_SERVICE, 404, 'no such service'),
    );
  }
  if (!caller.customer.services.includes(name)) {
    return Effect.fail(
      makeNotRun(
        OutcomeReason.FORBIDDEN,
        403,
        'this customer may not use the service',
      ),
    );
  }
  return Effect.succeed(service);
}

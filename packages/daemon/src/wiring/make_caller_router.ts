import type {Effect} from 'effect';
import {hash32, SeededRandom} from '@greengagecross/common';
import {
  BudgetedRetryPolicy,
  SmallLimitPolicy,
  DaemonShareLimiter,
  RetryBudget,
} from '@greengagecross/decisions';
import {Authenticator} from '../callers/authenticator.js';
import {CallerRouter} from '../callers/caller_router.js';
import {ChatAttempt} from '../callers/chat_attempt.js';
import {ChatDispatcher} from '../callers/chat_dispatcher.js';
import {ChatHandler} from '../callers/chat_handler.js';
import {CustomerRequestLimiter} from '../callers/customer_request_limiter.js';
import {NextTurnFactory} from '../callers/next_turn_factory.js';
import {DirectoryHandler} from '../callers/directory_handler.js';
import {AtMostOnceDispatcher} from '../callers/at_most_once_dispatcher.js';
import {RepeatableDispatcher} from '../callers/repeatable_dispatcher.js';
import {ServiceHandler} from '../callers/service_handler.js';
import type {DaemonMetrics} from '../metrics/daemon_metrics.js';
import type {DaemonParts} from './daemon_parts.js';

/** Makes the router of the caller listener, with all that it depends on. */
export function makeCallerRouter(
  parts: DaemonParts,
  metrics: DaemonMetrics,
  /** Completes when the requests in flight must end early. */
  forcedStop: Effect.Effect<void>,
): CallerRouter {
  const {placement, broker, tickets, workers, members} = parts;
  const countDaemons = (): number => members.countLive();
  const {guard} = parts.suspects;
  const authenticator = new Authenticator(parts.configuration);
  const seed = hash32(`${parts.settings.id} ${parts.startedAtMs}`);
  const retries = new BudgetedRetryPolicy(
    new RetryBudget(),
    new SeededRandom(seed),
  );
  const nextTurns = new NextTurnFactory(tickets, (engine, nowMs) =>
    parts.fleet.findOwner(engine, nowMs),
  );
  const attempts = new ChatAttempt(parts.engines, nextTurns);
  const directory = new DirectoryHandler(
    authenticator,
    placement,
    tickets,
    parts.tuning.directoryKeepMs,
  );
  const chats = new ChatHandler(
    authenticator,
    new ChatDispatcher(
      placement,
      broker,
      attempts,
      retries,
      parts.times,
      guard,
    ),
    tickets,
    new CustomerRequestLimiter(
      new DaemonShareLimiter(SmallLimitPolicy.LEAVE_TO_OWNERS),
      countDaemons,
    ),
    forcedStop,
  );
  const services = new ServiceHandler(
    authenticator,
    new RepeatableDispatcher(placement, workers, retries, guard),
    new AtMostOnceDispatcher(placement, workers, parts.claims, guard),
    new CustomerRequestLimiter(
      new DaemonShareLimiter(SmallLimitPolicy.ROUND_UP),
      countDaemons,
    ),
  );
  return new CallerRouter(directory, chats, services, metrics, forcedStop);
}

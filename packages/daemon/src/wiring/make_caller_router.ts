import type {Effect} from 'effect';
import {hash32, SeededRandom} from '@greengagecross/common';
import {
  BudgetedRetries,
  CustomerLimit,
  RetryBudget,
} from '@greengagecross/decisions';
import {Authenticator} from '../callers/authenticator.js';
import {CallerRouter} from '../callers/caller_router.js';
import {ChatAttempt} from '../callers/chat_attempt.js';
import {ChatDispatcher} from '../callers/chat_dispatcher.js';
import {ChatHandler} from '../callers/chat_handler.js';
import {DirectoryHandler} from '../callers/directory_handler.js';
import {OnceDispatcher} from '../callers/once_dispatcher.js';
import {RepeatableDispatcher} from '../callers/repeatable_dispatcher.js';
import {ServiceHandler} from '../callers/service_handler.js';
import type {DaemonMetrics} from '../metrics/daemon_metrics.js';
import type {DaemonParts} from './daemon_parts.js';

/** Wires what serves callers. */
export function makeCallerRouter(
  parts: DaemonParts,
  metrics: DaemonMetrics,
  /** Completes when what is in flight must end. */
  cut: Effect.Effect<void>,
): CallerRouter {
  const {placement, broker, tickets, workers, members} = parts;
  const {guard} = parts.suspects;
  const authenticator = new Authenticator(parts.configuration);
  const seed = hash32(`${parts.settings.id} ${parts.startedAtMs}`);
  const retries = new BudgetedRetries(
    new RetryBudget(),
    new SeededRandom(seed),
  );
  const attempts = new ChatAttempt(parts.engines, tickets);
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
    new CustomerLimit(),
    members,
    cut,
  );
  const services = new ServiceHandler(
    authenticator,
    new RepeatableDispatcher(placement, workers, retries, guard),
    new OnceDispatcher(placement, workers, parts.claims, guard),
  );
  return new CallerRouter(directory, chats, services, metrics, cut);
}

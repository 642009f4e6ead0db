import {defineCommand} from 'citty';
import {Effect, Result} from 'effect';
import {
  decodeDocument,
  PlacementExplanationSchema,
  PlacementReason,
  toError,
  type Address,
  type PlacementExplanation,
  type PlacementRecord,
} from '@greengagecross/common';
import {parseAnswerId, findOrigin} from '@greengagecross/questionnaire';
import {AnswerArchive} from '../accept/answer_archive.js';
import {ClientError} from '../client_error.js';
import type {ClientContext} from '../client_context.js';
import {ExitCode} from '../exit_code.js';
import {formatTime} from '../format_time.js';
import {
  COMMON_ARGS,
  runClientCommand,
  type CommandOutput,
} from '../run_command.js';
import {findDaemon} from './dump.js';

const MAX_SHOWN = 5;
const CONCURRENT_CALLS = 32;
/**
 * Why an engine was chosen. An engine is warm for a chat if it still caches the
 * chat's context.
 */
const REASONS: Readonly<Record<PlacementReason, string>> = {
  [PlacementReason.TICKET_WARM]: 'its context is warm there',
  [PlacementReason.WAIT_WARM]:
    "the request waited for this engine, as the chat's context is warm there",
  [PlacementReason.PREFERRED]:
    'the caller sent no ticket, so the chat started on its preferred engine',
  [PlacementReason.MOVED_BOUND]:
    'its warm engine was full and waiting for it would have cost more',
  [PlacementReason.ENGINE_LEAVING]:
    'its warm engine is leaving or no longer available',
  [PlacementReason.FALLBACK]:
    'the engines ranked above this one granted no slot',
};

/** `greengagecross explain`: explains a chat's engine or a generated value. */
export const explainCommand = defineCommand({
  meta: {
    name: 'explain',
    description:
      'Explain why a chat is sent to its engine (--customer, --chat), or which answer a configuration value comes from (--value). Exit codes: 0 explained, 1 no daemon answers, 2 no such customer or value.',
  },
  args: {
    ...COMMON_ARGS,
    value: {
      type: 'string',
      description: 'Path of the value, such as services/assistant/placement.',
    },
    customer: {type: 'string', description: 'Customer of the chat.'},
    chat: {type: 'string', description: 'Id of the chat.'},
    service: {
      type: 'string',
      description:
        'Service of the chat; by default the first model service of the customer.',
    },
    ticket: {type: 'string', description: 'Ticket that the caller holds.'},
    daemon: {
      type: 'string',
      description:
        'Id of the daemon to ask; by default the daemon that served the chat last.',
    },
  },
  run: ({args}) =>
    runClientCommand(args, context => {
      const explained =
        args.value === undefined
          ? explainChat(context, args)
          : explainValue(context, args.value);
      return context.progress.track('Asking', explained);
    }),
});

function explainValue(
  context: ClientContext,
  path: string,
): Effect.Effect<CommandOutput, Error> {
  return Effect.gen(function* () {
    const current = yield* context.store.readCurrent();
    const answers =
      current === undefined
        ? undefined
        : yield* new AnswerArchive(context.store).readRecord(current);
    const origin =
      answers === undefined ? undefined : findOrigin(answers, path);
    if (origin === undefined) {
      return yield* Effect.fail(
        new ClientError(
          ExitCode.BAD_INPUT,
          `there is no value ${path}`,
          'Write a path such as services/NAME/deadlineMs or customers/NAME/maxInFlight.',
        ),
      );
    }
    const {answerId, value} = origin;
    const shown = path.endsWith('/keyHashes') ? '(hidden)' : value;
    const summary = `${path} is ${JSON.stringify(shown)}.`;
    if (answerId === undefined) {
      const lines = [
        summary,
        'No answer determines this value; it is the same in every deployment.',
      ];
      return {value: {path, value: shown}, lines};
    }
    const {subject, question} = parseAnswerId(answerId);
    const questionText = question === undefined ? '' : ` "${question.text}"`;
    return {
      value: {path, value: shown, answerId},
      lines: [
        summary,
        `It comes from the answer ${answerId}`,
        `  ${subject}:${questionText}`,
      ],
    };
  });
}

interface ChatArgs {
  readonly customer?: string | undefined;
  readonly chat?: string | undefined;
  readonly service?: string | undefined;
  readonly ticket?: string | undefined;
  readonly daemon?: string | undefined;
}

function explainChat(
  context: ClientContext,
  args: ChatArgs,
): Effect.Effect<CommandOutput, Error> {
  const {customer, chat, service = '', ticket = ''} = args;
  if (customer === undefined || chat === undefined) {
    return Effect.fail(
      new ClientError(
        ExitCode.BAD_INPUT,
        'there is nothing to explain',
        'Give --customer and --chat, or --value.',
      ),
    );
  }
  const query = new URLSearchParams({customer, chat, service, ticket});
  return Effect.gen(function* () {
    const daemons =
      args.daemon === undefined
        ? (yield* context.fleet.listDaemons()).daemons
        : [yield* findDaemon(context, args.daemon)];
    const results = yield* Effect.forEach(
      daemons,
      ({control}) =>
        Effect.result(askDaemon(context, control, `/v1/explain?${query}`)),
      {concurrency: CONCURRENT_CALLS},
    );
    const explanations = results
      .filter(Result.isSuccess)
      .map(({success}) => success);
    // The daemon that served the chat last has the chat's placement records.
    const [latest] = explanations.sort(
      (a, b) => getLastRequestMs(b) - getLastRequestMs(a),
    );
    if (latest !== undefined) {
      return {value: latest, lines: formatExplanation(latest)};
    }
    const firstFailure = results.find(Result.isFailure);
    const error =
      firstFailure?.failure ?? new Error('the fleet has no daemons');
    return yield* Effect.fail(error);
  });
}

function askDaemon(
  context: ClientContext,
  control: Address,
  path: string,
): Effect.Effect<PlacementExplanation, Error> {
  return Effect.flatMap(context.daemonCaller.send(control, 'GET', path), body =>
    Effect.try({
      try: () => decodeDocument(PlacementExplanationSchema, body, 'explain'),
      catch: toError,
    }),
  );
}

/** Returns when the daemon last placed a request of the chat; 0 if never. */
function getLastRequestMs(explanation: PlacementExplanation): number {
  return explanation.recent[0]?.atMs ?? 0;
}

function formatRecord(record: PlacementRecord): string {
  const {atMs, requestId, choices, takenBy, ticketEngine} = record;
  const at = `${formatTime(atMs)}  request ${requestId}`;
  if (takenBy === '') return `${at} got no slot on any engine.`;
  const choice = choices.find(({engine}) => engine === takenBy);
  const why = choice === undefined ? 'after a wait' : REASONS[choice.reason];
  const isElsewhere = ticketEngine !== '' && ticketEngine !== takenBy;
  const warm = isElsewhere ? ` (ticket: ${ticketEngine})` : '';
  return `${at} went to ${takenBy}: ${why}${warm}.`;
}

function formatExplanation(explanation: PlacementExplanation): string[] {
  const {daemon, service, warmEngine, owner, choices, recent} = explanation;
  return [
    `${daemon} would send this chat of ${service} to ${choices[0]?.engine ?? 'no engine'}.`,
    warmEngine === ''
      ? 'No engine is known to be warm for this chat.'
      : `Warm: ${warmEngine}.`,
    ...(owner === ''
      ? []
      : [
          `Owner of the first engine below, which counts its requests: ${owner}.`,
        ]),
    '',
    'engine                reason          in flight  bound   wait ms  cost ms',
    ...choices
      .slice(0, MAX_SHOWN)
      .map(choice =>
        [
          choice.engine.slice(0, 20).padEnd(22),
          choice.reason.padEnd(15),
          String(choice.inFlight).padStart(10),
          String(choice.bound).padStart(7),
          choice.waitMs.toFixed(0).padStart(10),
          choice.costMs.toFixed(0).padStart(9),
        ].join(''),
      ),
    ...recent.slice(0, MAX_SHOWN).map(record => formatRecord(record)),
  ];
}

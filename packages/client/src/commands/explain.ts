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
import {findAnswerPlace, findOrigin} from '@greengagecross/questionnaire';
import {AnswerArchive} from '../accept/answer_archive.js';
import {ClientError} from '../client_error.js';
import type {ClientContext} from '../client_context.js';
import {ExitCode} from '../exit_code.js';
import {formatTime} from '../format_time.js';
import {COMMON_ARGS, runCommand, type CommandOutput} from '../run_command.js';
import {findDaemon} from './dump.js';

const MAX_SHOWN = 5;
const CONCURRENT_CALLS = 32;
const REASONS: Readonly<Record<PlacementReason, string>> = {
  [PlacementReason.TICKET_WARM]: 'its context is warm there',
  [PlacementReason.WAIT_WARM]: 'it waited, as its context is warm there',
  [PlacementReason.PREFERRED]:
    'the caller brought no ticket, so it started at home',
  [PlacementReason.MOVED_BOUND]:
    'its warm engine was full and waiting cost more',
  [PlacementReason.ENGINE_LEAVING]: 'its warm engine is leaving or gone',
  [PlacementReason.FALLBACK]: 'the engines before it gave no slot',
};

/** `greengagecross explain`: where a value or a chat's engine comes from. */
export const explainCommand = defineCommand({
  meta: {
    name: 'explain',
    description:
      'Explain why a chat goes to its engine (--customer, --chat), or which answer a generated value comes from (--value). Exit codes: 0 explained, 1 no daemon answers, 2 no such customer or value.',
  },
  args: {
    ...COMMON_ARGS,
    value: {
      type: 'string',
      description: 'Value, as services/assistant/placement.',
    },
    customer: {type: 'string', description: 'Customer of the chat.'},
    chat: {type: 'string', description: 'Id of the chat.'},
    service: {type: 'string', description: 'Service, if not its first.'},
    ticket: {type: 'string', description: 'Ticket that the caller holds.'},
    daemon: {
      type: 'string',
      description:
        'Daemon to ask; otherwise the one that served the chat last.',
    },
  },
  run: ({args}) =>
    runCommand(args, context => {
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
        : yield* new AnswerArchive(context.store).readOf(current);
    const origin =
      answers === undefined ? undefined : findOrigin(answers, path);
    if (origin === undefined) {
      return yield* Effect.fail(
        new ClientError(
          ExitCode.BAD_INPUT,
          `there is no value ${path}`,
          'Write as in services/NAME/deadlineMs or customers/NAME/maxInFlight.',
        ),
      );
    }
    const {answerId, value} = origin;
    const shown = path.endsWith('/keyHashes') ? '(hidden)' : value;
    const first = `${path} is ${JSON.stringify(shown)}.`;
    if (answerId === undefined) {
      const lines = [first, 'No answer decides it: it is the same everywhere.'];
      return {value: {path, value: shown}, lines};
    }
    const {subject, question} = findAnswerPlace(answerId);
    const asked = question === undefined ? '' : ` "${question.text}"`;
    return {
      value: {path, value: shown, answerId},
      lines: [
        first,
        `It comes from the answer ${answerId}`,
        `  ${subject}:${asked}`,
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
    const hosts =
      args.daemon === undefined
        ? (yield* context.fleet.listHosts()).hosts
        : [yield* findDaemon(context, args.daemon)];
    const asked = yield* Effect.forEach(
      hosts,
      ({control}) =>
        Effect.result(askDaemon(context, control, `/v1/explain?${query}`)),
      {concurrency: CONCURRENT_CALLS},
    );
    const answers = asked.filter(Result.isSuccess).map(({success}) => success);
    // The daemon that served the chat last knows why it went there.
    const [best] = answers.sort((a, b) => getLastMs(b) - getLastMs(a));
    if (best !== undefined) {
      return {value: best, lines: formatExplanation(best)};
    }
    const failed = asked.find(Result.isFailure);
    const failure = failed?.failure ?? new Error('there is no daemon');
    return yield* Effect.fail(failure);
  });
}

function askDaemon(
  context: ClientContext,
  control: Address,
  path: string,
): Effect.Effect<PlacementExplanation, Error> {
  return Effect.flatMap(context.daemons.send(control, 'GET', path), body =>
    Effect.try({
      try: () => decodeDocument(PlacementExplanationSchema, body, 'explain'),
      catch: toError,
    }),
  );
}

function getLastMs(explanation: PlacementExplanation): number {
  return explanation.recent[0]?.atMs ?? 0;
}

/** Says where one of the chat's requests went, and why. */
function formatRecord(record: PlacementRecord): string {
  const {atMs, requestId, choices, takenBy, ticketEngine} = record;
  const at = `${formatTime(atMs)}  request ${requestId}`;
  if (takenBy === '') return `${at} got no slot on any engine.`;
  const choice = choices.find(({engine}) => engine === takenBy);
  const why = choice === undefined ? 'after a wait' : REASONS[choice.reason];
  const isElsewhere = ticketEngine !== '' && ticketEngine !== takenBy;
  const warm = isElsewhere ? ` (warm: ${ticketEngine})` : '';
  return `${at} went to ${takenBy}: ${why}${warm}.`;
}

function formatExplanation(explanation: PlacementExplanation): string[] {
  const {daemon, service, warmEngine, owner, choices, recent} = explanation;
  return [
    `${daemon} would send this chat of ${service} to ${choices[0]?.engine ?? 'no engine'}.`,
    warmEngine === ''
      ? 'No engine is known to be warm.'
      : `Warm: ${warmEngine}.`,
    ...(owner === '' ? [] : [`Its requests are counted by ${owner}.`]),
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

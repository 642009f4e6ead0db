import {BackendHeader} from '@greengagecross/backend';
import type {HttpExchange} from '@greengagecross/http';
import {makeChunk} from '../backends/make_chunk.js';

/** An event of a scripted engine. */
interface ScriptedEvent {
  readonly id: string;
  readonly data: string;
}

/** Answers one exchange of a scripted engine. */
export type EngineScript = (
  exchange: HttpExchange,
  attemptId: string,
  tokens: readonly string[],
) => void;

const OTHER = 'attempt-of-another-request';
const STREAM_TYPE = {'content-type': 'text/event-stream'};

function makeEvents(
  attemptId: string,
  tokens: readonly string[],
): ScriptedEvent[] {
  const data = [
    ...tokens.map(token => makeChunk(attemptId, token)),
    makeChunk(attemptId, '', 'stop'),
    '[DONE]',
  ];
  return data.map((text, index) => ({id: String(index), data: text}));
}

function sendEvents(
  exchange: HttpExchange,
  echoedId: string,
  events: readonly ScriptedEvent[],
  isCut = false,
): void {
  const {response} = exchange;
  response.writeHead(200, {
    ...STREAM_TYPE,
    [BackendHeader.REQUEST_ID]: echoedId,
  });
  for (const {id, data} of events) {
    response.write(`${id === '' ? '' : `id: ${id}\n`}data: ${data}\n\n`);
  }
  if (isCut) response.write('', () => exchange.request.socket.destroySoon());
  else response.end();
}

/** Makes a script that changes the events of the first connection. */
function makeChangedEvents(
  change: (events: ScriptedEvent[], attemptId: string) => ScriptedEvent[],
): EngineScript {
  return (exchange, attemptId, tokens) =>
    sendEvents(
      exchange,
      attemptId,
      change(makeEvents(attemptId, tokens), attemptId),
    );
}

/** Makes a script that cuts after two events and resumes as told. */
function makeResumed(
  resume: (
    events: ScriptedEvent[],
    attemptId: string,
  ) => {echoedId: string; events: ScriptedEvent[]},
): EngineScript {
  return (exchange, attemptId, tokens) => {
    const events = makeEvents(attemptId, tokens);
    if (exchange.method === 'POST') {
      sendEvents(exchange, attemptId, events.slice(0, 2), true);
      return;
    }
    const {echoedId, events: rest} = resume(events, attemptId);
    sendEvents(exchange, echoedId, rest);
  };
}

function makeWhole(attemptId: string, tokens: readonly string[]): string {
  return JSON.stringify({
    id: `chatcmpl-${attemptId}`,
    choices: [
      {message: {content: tokens.join('')}, finish_reason: 'stop', index: 0},
    ],
  });
}

/** Makes a script of a whole answer, sent with a length of its own. */
function makeWholeReply(
  isLengthTold: boolean,
  measure: (body: string) => {length: number; sent: number},
  owner = (attemptId: string): string => attemptId,
): EngineScript {
  return (exchange, attemptId, tokens) => {
    const body = makeWhole(owner(attemptId), tokens);
    const {length, sent} = measure(body);
    const {socket} = exchange.request;
    const head = [
      'HTTP/1.1 200 OK',
      'content-type: application/json',
      `${BackendHeader.REQUEST_ID}: ${attemptId}`,
      isLengthTold ? `content-length: ${length}` : 'connection: close',
    ];
    socket.write(`${head.join('\r\n')}\r\n\r\n${body.slice(0, sent)}`, () =>
      socket.destroySoon(),
    );
  };
}

/** Makes a script that says that the request did not run. */
function makeRefusal(owner: (attemptId: string) => string): EngineScript {
  return (exchange, attemptId) =>
    exchange.sendJson(
      503,
      {error: 'not run'},
      {
        [BackendHeader.NOT_RUN]: 'true',
        [BackendHeader.REQUEST_ID]: owner(attemptId),
      },
    );
}

const isWhole = (body: string) => ({length: body.length, sent: body.length});
const isHalf = (body: string) => ({
  length: body.length,
  sent: Math.floor(body.length / 2),
});
const isShortLength = (body: string) => ({
  length: Math.floor(body.length / 2),
  sent: body.length,
});

/** Scripts by the name that stands in the feature's table. */
export const ENGINE_SCRIPTS: Readonly<Record<string, EngineScript>> = {
  'its own events': makeChangedEvents(events => events),
  'an event twice': makeChangedEvents(events => events.flatMap(e => [e, e])),
  'an event missing': makeChangedEvents(events => events.toSpliced(1, 1)),
  'the last token missing': makeChangedEvents(events =>
    events.toSpliced(-3, 1),
  ),
  'the end too early': makeChangedEvents(events => [
    ...events.slice(0, 2),
    {id: '2', data: '[DONE]'},
  ]),
  "another request's event": makeChangedEvents(events =>
    events.with(1, {id: '1', data: makeChunk(OTHER, 'another')}),
  ),
  "another request's event repeated": makeChangedEvents(events =>
    events.toSpliced(2, 0, {id: '0', data: makeChunk(OTHER, 'another')}),
  ),
  "another request's stream": (exchange, attemptId, tokens) =>
    sendEvents(exchange, OTHER, makeEvents(OTHER, tokens)),
  'events without ids': makeChangedEvents(events =>
    events.map(({data}) => ({id: '', data})),
  ),
  'an error in the middle': makeChangedEvents(events =>
    events.with(1, {id: '1', data: '{"error":{"message":"out of memory"}}'}),
  ),
  'broken JSON in the middle': makeChangedEvents(events =>
    events.with(1, {id: '1', data: '{"id":"chatcmpl'}),
  ),
  'a cut, then the rest': makeResumed((events, attemptId) => ({
    echoedId: attemptId,
    events: events.slice(2),
  })),
  'a cut, then all again': makeResumed((events, attemptId) => ({
    echoedId: attemptId,
    events,
  })),
  'a cut, then one event less': makeResumed((events, attemptId) => ({
    echoedId: attemptId,
    events: events.slice(3),
  })),
  "a cut, then another request's rest": makeResumed(events => ({
    echoedId: OTHER,
    events: events.slice(2),
  })),
  'a whole answer': makeWholeReply(true, isWhole),
  'half an answer with its whole length': makeWholeReply(true, isHalf),
  'half an answer without a length': makeWholeReply(false, isHalf),
  'an answer with half its length': makeWholeReply(true, isShortLength),
  "another request's whole answer": makeWholeReply(true, isWhole, () => OTHER),
  'its own refusal': makeRefusal(attemptId => attemptId),
  "another request's refusal": makeRefusal(() => OTHER),
};

import {BackendHeader} from '@greengagecross/backend';
import type {HttpExchange} from '@greengagecross/http';
import {makeChunk} from '../backends/make_chunk.js';

/** A server-sent event; an empty id is left out. */
interface ScriptedEvent {
  readonly id: string;
  readonly data: string;
}

/** Answers one HTTP request in place of an engine. */
export type EngineScript = (
  exchange: HttpExchange,
  attemptId: string,
  tokens: readonly string[],
) => void;

const OTHER_ATTEMPT_ID = 'attempt-of-another-request';
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
  isLost = false,
): void {
  const {response} = exchange;
  response.writeHead(200, {
    ...STREAM_TYPE,
    [BackendHeader.REQUEST_ID]: echoedId,
  });
  for (const {id, data} of events) {
    response.write(`${id === '' ? '' : `id: ${id}\n`}data: ${data}\n\n`);
  }
  if (isLost) response.write('', () => exchange.request.socket.destroySoon());
  else response.end();
}

/** Makes a script that streams the correct events after `change` was applied. */
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

/**
 * Makes a script that closes the first connection after two events and answers
 * the request to resume with what `resume` returns.
 */
function makeInterrupted(
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

function makeCompletion(attemptId: string, tokens: readonly string[]): string {
  return JSON.stringify({
    id: `chatcmpl-${attemptId}`,
    choices: [
      {message: {content: tokens.join('')}, finish_reason: 'stop', index: 0},
    ],
  });
}

/** Makes a script of a non-streamed answer with given header and body lengths. */
function makeNonStreamed(
  hasContentLength: boolean,
  computeSizes: (body: string) => {length: number; sent: number},
  chooseAttemptId = (attemptId: string): string => attemptId,
): EngineScript {
  return (exchange, attemptId, tokens) => {
    const body = makeCompletion(chooseAttemptId(attemptId), tokens);
    const {length, sent} = computeSizes(body);
    const {socket} = exchange.request;
    const head = [
      'HTTP/1.1 200 OK',
      'content-type: application/json',
      `${BackendHeader.REQUEST_ID}: ${attemptId}`,
      hasContentLength ? `content-length: ${length}` : 'connection: close',
    ];
    socket.write(`${head.join('\r\n')}\r\n\r\n${body.slice(0, sent)}`, () =>
      socket.destroySoon(),
    );
  };
}

/** Makes a script that reports that the request did not run. */
function makeRefusal(
  chooseAttemptId: (attemptId: string) => string,
): EngineScript {
  return (exchange, attemptId) =>
    exchange.sendJson(
      503,
      {error: 'not run'},
      {
        [BackendHeader.NOT_RUN]: 'true',
        [BackendHeader.REQUEST_ID]: chooseAttemptId(attemptId),
      },
    );
}

const makeFullSizes = (body: string) => ({
  length: body.length,
  sent: body.length,
});
const makeHalfSent = (body: string) => ({
  length: body.length,
  sent: Math.floor(body.length / 2),
});
const makeHalfLength = (body: string) => ({
  length: Math.floor(body.length / 2),
  sent: body.length,
});

/** Makes a script that closes after two events; `answer` follows on resuming. */
function makeErrorAfterLoss(
  answer: (exchange: HttpExchange, attemptId: string) => void,
): EngineScript {
  return (exchange, attemptId, tokens) => {
    if (exchange.method !== 'POST') {
      answer(exchange, attemptId);
      return;
    }
    const events = makeEvents(attemptId, tokens);
    sendEvents(exchange, attemptId, events.slice(0, 2), true);
  };
}

/** Scripts by their names in whole_answers.feature. */
export const ENGINE_SCRIPTS: Readonly<Record<string, EngineScript>> = {
  'a lost connection, then an error': makeErrorAfterLoss((exchange, id) =>
    exchange.sendJson(500, {error: 'failed'}, {[BackendHeader.REQUEST_ID]: id}),
  ),
  'a lost connection, then the head of an error in a stream':
    makeErrorAfterLoss((exchange, id) => {
      const {response} = exchange;
      response.writeHead(200, {
        ...STREAM_TYPE,
        [BackendHeader.REQUEST_ID]: id,
      });
      response.end(
        'HTTP/1.1 500 Internal Server Error\r\ncontent-length: 6\r\n\r\nfailed',
      );
    }),
  'its own events': makeChangedEvents(events => events),
  'each event twice': makeChangedEvents(events => events.flatMap(e => [e, e])),
  'an event missing': makeChangedEvents(events => events.toSpliced(1, 1)),
  'the last token missing': makeChangedEvents(events =>
    events.toSpliced(-3, 1),
  ),
  'the end event too early': makeChangedEvents(events => [
    ...events.slice(0, 2),
    {id: '2', data: '[DONE]'},
  ]),
  "another request's event": makeChangedEvents(events =>
    events.with(1, {id: '1', data: makeChunk(OTHER_ATTEMPT_ID, 'another')}),
  ),
  "another request's event repeated": makeChangedEvents(events =>
    events.toSpliced(2, 0, {
      id: '0',
      data: makeChunk(OTHER_ATTEMPT_ID, 'another'),
    }),
  ),
  "another request's stream": (exchange, attemptId, tokens) =>
    sendEvents(
      exchange,
      OTHER_ATTEMPT_ID,
      makeEvents(OTHER_ATTEMPT_ID, tokens),
    ),
  'events without ids': makeChangedEvents(events =>
    events.map(({data}) => ({id: '', data})),
  ),
  'an error in the middle': makeChangedEvents(events =>
    events.with(1, {id: '1', data: '{"error":{"message":"out of memory"}}'}),
  ),
  'broken JSON in the middle': makeChangedEvents(events =>
    events.with(1, {id: '1', data: '{"id":"chatcmpl'}),
  ),
  'a lost connection, then the rest': makeInterrupted((events, attemptId) => ({
    echoedId: attemptId,
    events: events.slice(2),
  })),
  'a lost connection, then all events again': makeInterrupted(
    (events, attemptId) => ({
      echoedId: attemptId,
      events,
    }),
  ),
  'a lost connection, then the rest without its first event': makeInterrupted(
    (events, attemptId) => ({
      echoedId: attemptId,
      events: events.slice(3),
    }),
  ),
  "a lost connection, then another request's rest": makeInterrupted(events => ({
    echoedId: OTHER_ATTEMPT_ID,
    events: events.slice(2),
  })),
  'a complete answer': makeNonStreamed(true, makeFullSizes),
  'half an answer with the full content-length': makeNonStreamed(
    true,
    makeHalfSent,
  ),
  'half an answer without a content-length': makeNonStreamed(
    false,
    makeHalfSent,
  ),
  'an answer with half its content-length': makeNonStreamed(
    true,
    makeHalfLength,
  ),
  "another request's complete answer": makeNonStreamed(
    true,
    makeFullSizes,
    () => OTHER_ATTEMPT_ID,
  ),
  'its own refusal': makeRefusal(attemptId => attemptId),
  "another request's refusal": makeRefusal(() => OTHER_ATTEMPT_ID),
};

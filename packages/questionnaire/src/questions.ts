import {PlacementPreference, PriorityClass} from '@greengagecross/common';
import {AnswerKind, type Choice, type Question} from './question.js';

const WAITING: readonly Choice[] = [
  {
    value: PriorityClass.INTERACTIVE,
    text: 'someone stands waiting for a short answer, as at a counter',
  },
  {
    value: PriorityClass.CONSULTATION,
    text: 'someone waits for a long answer, as in a consultation',
  },
  {value: PriorityClass.BACKGROUND, text: 'nobody waits'},
];

const SERVICE_NAME: Question = {
  field: 'name',
  kind: AnswerKind.TEXT,
  text: 'What do callers name this service?',
  explanation: 'Callers send this name with each request.',
  example: 'assistant',
};

const WHO_WAITS: Question = {
  field: 'whoWaits',
  kind: AnswerKind.CHOICE,
  text: 'Does someone wait for its answers?',
  explanation: 'Under load, short answers that someone waits for go first.',
  example: 'interactive, for lookups at a counter',
  fallback: PriorityClass.CONSULTATION,
  choices: WAITING,
};

const LONGEST_WAIT: Question = {
  field: 'longestWaitSeconds',
  kind: AnswerKind.NUMBER,
  text: 'After how many seconds is an answer of no use any more?',
  explanation: 'A request that takes longer is ended and its caller told.',
  example: '60 for a letter, 10 for a lookup',
  fallback: '60',
};

const SERVERS: Question = {
  field: 'servers',
  kind: AnswerKind.SERVERS,
  text: 'Which servers does it run on?',
  explanation: 'Each as ID HOST:PORT ZONE, separated by commas.',
  example: 'engine-1 10.0.1.10:8000 centro-a, engine-2 10.0.2.10:8000 centro-b',
};

/** Asked once. */
export const DEPLOYMENT_QUESTIONS: readonly Question[] = [
  {
    field: 'deployment',
    kind: AnswerKind.TEXT,
    text: 'What is this deployment called?',
    explanation: 'It is shown to operators only.',
    example: 'Velo Compartido Laboratorio',
  },
];

/** Asked of each service that runs on model engines. */
export const ENGINE_QUESTIONS: readonly Question[] = [
  SERVICE_NAME,
  {
    field: 'mattersMore',
    kind: AnswerKind.CHOICE,
    text: 'Which matters more: returning to a warm engine, or even load?',
    explanation: 'It sets how far the busiest engine may go above the mean.',
    example: 'reuse, where a long history would have to be read again',
    fallback: PlacementPreference.REUSE,
    choices: [
      {value: PlacementPreference.REUSE, text: 'returning to a warm engine'},
      {value: PlacementPreference.EVENNESS, text: 'even load'},
    ],
  },
  WHO_WAITS,
  LONGEST_WAIT,
  {
    field: 'checksOrders',
    kind: AnswerKind.YES_NO,
    text: 'Do its engines check who gives them an order?',
    explanation:
      'An engine that checks refuses an order with an old fencing number.',
    example: 'no, if you are not sure',
    fallback: 'no',
  },
  SERVERS,
];

/** Asked of each service whose weights the fleet manages. */
export const WEIGHT_QUESTIONS: readonly Question[] = [
  {
    field: 'modelVersion',
    kind: AnswerKind.TEXT,
    text: 'Which version of the model should its engines have?',
    explanation:
      'Engines with another one finish their work, load it and take work again, a few at a time.',
    example: '2026-11-a, as the weight store names it',
  },
  {
    field: 'adapters',
    kind: AnswerKind.LIST,
    text: 'Which adapters should they have beside it?',
    explanation: 'Others are taken away from the engines.',
    example: 'letters, tagging; nothing where there are none',
    fallback: '',
  },
  {
    field: 'role',
    kind: AnswerKind.TEXT,
    text: 'Which role should they take?',
    explanation: 'Needed only where engines of one model do different parts.',
    example: 'prefill; nothing where there are no roles',
    fallback: '',
  },
  {
    field: 'outOfWorkAtOnce',
    kind: AnswerKind.NUMBER,
    text: 'How many of its engines may be out of work at once?',
    explanation: 'The others must carry the whole load meanwhile.',
    example: '1 of 13',
    fallback: '1',
  },
  {
    field: 'loadsAtOnce',
    kind: AnswerKind.NUMBER,
    text: 'How many engines of all services may load weights at once?',
    explanation: 'The weight store limits how much it gives at once.',
    example: '2',
    fallback: '2',
  },
];

/** Asked of each further kind of work on the same engines. */
export const OTHER_WORK_QUESTIONS: readonly Question[] = [
  SERVICE_NAME,
  WHO_WAITS,
  LONGEST_WAIT,
];

/** Asked of each plain service. */
export const PLAIN_QUESTIONS: readonly Question[] = [
  SERVICE_NAME,
  WHO_WAITS,
  LONGEST_WAIT,
  {
    field: 'mayNotBeRepeated',
    kind: AnswerKind.LIST,
    text: 'Which paths may not be called twice for the same request?',
    explanation:
      'Calls below these paths run at most once; others may be resent.',
    example: '/reservations, /orders',
    fallback: '',
  },
  SERVERS,
];

/** Asked of each customer. */
export const CUSTOMER_QUESTIONS: readonly Question[] = [
  {
    field: 'name',
    kind: AnswerKind.TEXT,
    text: 'What is the customer called?',
    explanation: 'Its callers send this name with each request.',
    example: 'parroquia-san-jose',
  },
  {
    field: 'keyHashes',
    kind: AnswerKind.SECRET,
    text: 'Which key do its callers send?',
    explanation: 'Only a salted hash is kept; give two to change keys.',
    example: 'a random text of at least 16 characters',
  },
  {
    field: 'services',
    kind: AnswerKind.LIST,
    text: 'Which services may it use?',
    explanation: 'A request for any other service is refused.',
    example: 'assistant, booking',
  },
  {
    field: 'atMostAtOnce',
    kind: AnswerKind.NUMBER,
    text: 'How many requests may it have at once?',
    explanation: 'More are refused, so that a surge leaves others their share.',
    example: '200 for a large customer',
    fallback: '100',
  },
];

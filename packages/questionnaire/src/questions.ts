import {PlacementPreference, PriorityClass} from '@greengagecross/common';
import {AnswerKind, type Choice, type Question} from './question.js';

const PRIORITY_CHOICES: readonly Choice[] = [
  {
    value: PriorityClass.INTERACTIVE,
    text: 'a person waits for a short answer, as at a counter',
  },
  {
    value: PriorityClass.CONSULTATION,
    text: 'a person waits for a long answer, as in a consultation',
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
  text: 'Who waits for the responses of this service?',
  explanation:
    'Under load, requests of an interactive service, such as lookups at a counter, go first.',
  example: 'interactive',
  fallback: PriorityClass.CONSULTATION,
  choices: PRIORITY_CHOICES,
};

const LONGEST_WAIT: Question = {
  field: 'longestWaitSeconds',
  kind: AnswerKind.NUMBER,
  text: 'After how many seconds is a response of no use any more?',
  explanation:
    'A request that takes longer is ended and its caller gets an error; write for example 10 for a lookup.',
  example: '60',
  fallback: '60',
};

const SERVERS: Question = {
  field: 'servers',
  kind: AnswerKind.SERVERS,
  text: 'Which servers does this service run on?',
  explanation: 'Write each server as ID HOST:PORT ZONE, separated by commas.',
  example: 'engine-1 10.0.1.10:8000 centro-a, engine-2 10.0.2.10:8000 centro-b',
};

/** Questions about the deployment, asked once. */
export const DEPLOYMENT_QUESTIONS: readonly Question[] = [
  {
    field: 'deployment',
    kind: AnswerKind.TEXT,
    text: 'What is this deployment called?',
    explanation: 'The name is shown to operators only.',
    example: 'Velo Compartido Laboratorio',
  },
];

/** Questions about each model service, which runs on model engines. */
export const ENGINE_QUESTIONS: readonly Question[] = [
  SERVICE_NAME,
  {
    field: 'mattersMore',
    kind: AnswerKind.CHOICE,
    text: 'Which matters more: returning to a warm engine, or even load?',
    explanation:
      'The answer sets how far the load of one engine may exceed the mean; choose reuse if long chat histories would have to be processed again.',
    example: 'reuse',
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
    text: 'Do the engines refuse orders with an old fencing number?',
    explanation:
      'An engine that checks fencing numbers refuses the orders of an earlier lease holder; answer no if you are not sure.',
    example: 'no',
    fallback: 'no',
  },
  SERVERS,
];

/** Questions about each service whose weights the fleet manages. */
export const WEIGHT_QUESTIONS: readonly Question[] = [
  {
    field: 'modelVersion',
    kind: AnswerKind.TEXT,
    text: 'Which version of the model should the engines load?',
    explanation:
      'Engines with another version finish their requests, load this version and accept requests again, a few at a time. Write the name that the version has in the weight store.',
    example: '2026-11-a',
  },
  {
    field: 'adapters',
    kind: AnswerKind.LIST,
    text: 'Which adapters should the engines load in addition to the model?',
    explanation:
      'All other adapters are removed from the engines; empty for no adapters.',
    example: 'letters, tagging',
    fallback: '',
  },
  {
    field: 'role',
    kind: AnswerKind.TEXT,
    text: 'Which role should the engines have?',
    explanation:
      'Needed only if engines of one model do different parts of the work; empty for no role.',
    example: 'prefill',
    fallback: '',
  },
  {
    field: 'outOfWorkAtOnce',
    kind: AnswerKind.NUMBER,
    text: 'How many engines of this service may accept no requests at once, while they load weights?',
    explanation: 'The remaining engines must carry the full load meanwhile.',
    example: '1',
    fallback: '1',
  },
  {
    field: 'loadsAtOnce',
    kind: AnswerKind.NUMBER,
    text: 'How many engines of all services may load weights at once?',
    explanation: 'The weight store limits how much can be loaded at once.',
    example: '2',
    fallback: '2',
  },
];

/** Questions about each further service on the engines of a model service. */
export const OTHER_WORK_QUESTIONS: readonly Question[] = [
  SERVICE_NAME,
  WHO_WAITS,
  LONGEST_WAIT,
];

/** Questions about each plain service, whose servers keep no chats. */
export const PLAIN_QUESTIONS: readonly Question[] = [
  SERVICE_NAME,
  WHO_WAITS,
  LONGEST_WAIT,
  {
    field: 'mayNotBeRepeated',
    kind: AnswerKind.LIST,
    text: 'Below which paths may a call not run twice for the same request?',
    explanation:
      'Calls below these paths run at most once; other calls may be sent again.',
    example: '/reservations, /orders',
    fallback: '',
  },
  SERVERS,
];

/** Questions about each customer. */
export const CUSTOMER_QUESTIONS: readonly Question[] = [
  {
    field: 'name',
    kind: AnswerKind.TEXT,
    text: 'What is the customer called?',
    explanation:
      'The callers of this customer send the name with each request.',
    example: 'parroquia-san-jose',
  },
  {
    field: 'keyHashes',
    kind: AnswerKind.SECRET,
    text: 'Which key do the callers of this customer send?',
    explanation:
      'Only a salted hash is stored; during a change of keys, enter both keys.',
    example: 'a random text of at least 16 characters',
  },
  {
    field: 'services',
    kind: AnswerKind.LIST,
    text: 'Which services may this customer use?',
    explanation: 'A request for any other service is refused.',
    example: 'assistant, booking',
  },
  {
    field: 'atMostAtOnce',
    kind: AnswerKind.NUMBER,
    text: 'How many requests may this customer have in flight at once?',
    explanation:
      'Further requests are refused, so that a surge leaves capacity for other customers.',
    example: '200',
    fallback: '100',
  },
];

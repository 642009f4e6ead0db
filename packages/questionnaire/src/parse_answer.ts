import {
  hashCustomerKey,
  parseAddress,
  type BackendServer,
  type KeyHash,
} from '@greengagecross/common';
import {AnswerKind, type Question} from './question.js';

const MIN_KEY_CHARACTERS = 16;
const YES = /^(y|yes|true)$/i;
const NO = /^(n|no|false)$/i;

/**
 * Parses the line that an operator entered for a question.
 *
 * An empty line gives the question's fallback.
 *
 * @throws Error with one sentence for the operator if the line is invalid.
 */
export function parseAnswer(question: Question, text: string): unknown {
  const line = text.trim() === '' ? question.fallback : text.trim();
  if (line === undefined) throw new Error('This question needs an answer.');
  switch (question.kind) {
    case AnswerKind.TEXT:
      return line;
    case AnswerKind.NUMBER:
      return parseNumber(line);
    case AnswerKind.YES_NO:
      return parseYesNo(line);
    case AnswerKind.CHOICE:
      return parseChoice(question, line);
    case AnswerKind.LIST:
      return parseList(line);
    case AnswerKind.SERVERS:
      return parseList(line).map(parseServer);
    case AnswerKind.SECRET:
      return parseList(line).map(parseKey);
  }
}

/** Formats an answer as an operator would write it; hides customer keys. */
export function formatAnswer(question: Question, answer: unknown): string {
  switch (question.kind) {
    case AnswerKind.YES_NO:
      return answer === true ? 'yes' : 'no';
    case AnswerKind.LIST:
      return (answer as readonly string[]).join(', ');
    case AnswerKind.SERVERS:
      return (answer as readonly BackendServer[]).map(formatServer).join(', ');
    case AnswerKind.SECRET:
      return `${(answer as readonly KeyHash[]).length} key(s), stored as hashes`;
    default:
      return String(answer);
  }
}

/** Formats a server as `ID HOST:PORT ZONE`. */
export function formatServer(server: BackendServer): string {
  const {id, host, port, availabilityZone} = server;
  return `${id} ${host}:${port} ${availabilityZone}`;
}

function parseNumber(line: string): number {
  if (!/^\d+$/.test(line)) throw new Error('Write a whole number.');
  return Number(line);
}

function parseYesNo(line: string): boolean {
  if (YES.test(line)) return true;
  if (NO.test(line)) return false;
  throw new Error('Write yes or no.');
}

function parseChoice(question: Question, line: string): string {
  const choices = question.choices ?? [];
  const chosen = choices.find(choice => choice.value === line);
  if (chosen !== undefined) return chosen.value;
  const byNumber = choices[Number(line) - 1];
  if (byNumber !== undefined) return byNumber.value;
  const names = choices.map(choice => choice.value).join(', ');
  throw new Error(`Write one of: ${names}; or the number of a choice.`);
}

function parseList(line: string): string[] {
  return line
    .split(',')
    .map(word => word.trim())
    .filter(word => word !== '');
}

/**
 * Parses a server written as `ID HOST:PORT ZONE`.
 *
 * @throws Error if the text has another form.
 */
export function parseServer(text: string): BackendServer {
  const [id, addressText, availabilityZone, ...rest] = text.split(/\s+/);
  const address = parseAddress(addressText ?? '');
  if (!id || !availabilityZone || rest.length > 0 || address === undefined) {
    throw new Error(`"${text}" is not ID HOST:PORT ZONE.`);
  }
  return {id, ...address, availabilityZone};
}

function parseKey(key: string): KeyHash {
  if (key.length < MIN_KEY_CHARACTERS) {
    throw new Error(`A key has at least ${MIN_KEY_CHARACTERS} characters.`);
  }
  return hashCustomerKey(key);
}

import {Effect} from 'effect';
import {SeededRandom} from '@greengagecross/common';
import {WorkKind, type CallerVerdict} from '../callers/caller_verdict.js';
import type {FleetCaller} from '../callers/fleet_caller.js';

const FIRST_CHARACTERS = 2000;
const TURN_CHARACTERS = 200;
const MEAN_TOKENS = 24;

interface Message {
  readonly role: string;
  readonly content: string;
}

/** Chats of one customer, each of several turns on a growing context. */
export class ChatLoad {
  constructor(
    private readonly caller: FleetCaller,
    private readonly random: SeededRandom,
    private readonly pauseMs: number,
    private readonly onVerdict: (verdict: CallerVerdict) => void,
  ) {}

  /** Runs a chat's turns, with random pauses, until `isEnding` returns true. */
  runChat(
    name: string,
    turns: number,
    isEnding: () => boolean,
  ): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const messages: Message[] = [makeMessage(name, FIRST_CHARACTERS)];
      let ticket: string | undefined;
      for (let turn = 0; turn < turns && !isEnding(); turn += 1) {
        const verdict = yield* this.caller.send({
          kind: WorkKind.CHAT,
          chat: name,
          workId: `${name}#${turn}`,
          ticket,
          body: {
            messages: [...messages],
            max_tokens: 4 + this.random.nextInt(2 * MEAN_TOKENS),
            stream: this.random.nextUnit() < 0.8,
          },
        });
        this.onVerdict(verdict);
        ticket = verdict.ticket ?? ticket;
        messages.push(makeMessage(`${name} ${turn}`, TURN_CHARACTERS));
        yield* Effect.sleep(this.random.nextExponential(this.pauseMs));
      }
    });
  }
}

function makeMessage(text: string, characters: number): Message {
  return {role: 'user', content: text.padEnd(characters, '.')};
}

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {ReferredPeer, SendingTurn} from './configuration_message.js';
import {SendingTurns} from './sending_turns.js';

/** Fixture of the turns that one daemon gives. */
interface TurnsWorld {
  turns: SendingTurns;
  turn: SendingTurn | undefined;
}

function makePeer(id: string): ReferredPeer {
  return {id, address: {host: id, port: 1}};
}

Given(
  'a daemon {string} that sends a document in {int} ms and is free at {int} ms',
  function (this: TurnsWorld, id: string, durationMs: number, atMs: number) {
    this.turns = new SendingTurns(makePeer(id), durationMs, atMs);
  },
);

When(
  '{string} asks for its turn at {int} ms',
  function (this: TurnsWorld, id: string, nowMs: number) {
    this.turn = this.turns.takeTurn(makePeer(id), nowMs);
  },
);

Then(
  'its turn is at {string} after {int} ms',
  function (this: TurnsWorld, id: string, afterMs: number) {
    assert.deepEqual(this.turn, {peer: makePeer(id), afterMs});
  },
);

Then('it gets no turn', function (this: TurnsWorld) {
  assert.equal(this.turn, undefined);
});

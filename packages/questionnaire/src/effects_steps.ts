import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {
  describeEffects,
  listChanges,
  removeAnswer,
  updateAnswer,
  type Answers,
} from './index.js';

/** State of one scenario about what a change does. */
interface EffectsWorld extends World {
  answers: Answers;
  changed: Answers;
}

When(
  /^its answers are changed by (.+)$/,
  function (this: EffectsWorld, change: string) {
    const removed = /^removal of (.+)$/.exec(change)?.[1];
    if (removed !== undefined) {
      this.changed = removeAnswer(this.answers, removed);
      return;
    }
    const [id = '', answer = ''] = change.split('=');
    this.changed = updateAnswer(this.answers, id, answer);
  },
);

Then(
  /^the effects told are (.+)$/,
  function (this: EffectsWorld, expected: string) {
    const changes = listChanges(this.answers, this.changed);
    const effects = describeEffects(changes, this.answers, this.changed);
    assert.deepEqual(effects, expected.split(' + '));
  },
);

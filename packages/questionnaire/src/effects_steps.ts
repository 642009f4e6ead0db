import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {
  describeEffects,
  listChanges,
  removeAnswer,
  updateAnswer,
  type Answers,
} from './index.js';

/** Fixture of scenarios that describe the effects of a change. */
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
  /^the described effects are (.+)$/,
  function (this: EffectsWorld, expected: string) {
    const changes = listChanges(this.answers, this.changed);
    const effects = describeEffects(changes, this.answers, this.changed);
    assert.deepEqual(effects, expected.split(' + '));
  },
);

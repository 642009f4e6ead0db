import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {
  EVENT_LOOP_SAMPLE_INTERVAL_MS,
  EventLoopDelay,
} from './event_loop_delay.js';

/** Fixture of the event loop delay scenarios. */
interface DelayWorld extends World {
  delay: EventLoopDelay;
  /** Time of the last sample. */
  nowMs: number;
}

Given(
  'a daemon whose timers fire {int} ms late',
  function (this: DelayWorld, lateMs: number) {
    this.delay = new EventLoopDelay();
    this.delay.sample(0);
    this.nowMs = EVENT_LOOP_SAMPLE_INTERVAL_MS + lateMs;
    this.delay.sample(this.nowMs);
  },
);

When('its next timer fires on time', function (this: DelayWorld) {
  this.delay.sample(this.nowMs + EVENT_LOOP_SAMPLE_INTERVAL_MS);
});

Then(
  /^it (takes|refuses) a request that has (\d+) ms$/,
  function (this: DelayWorld, decision: string, budgetMs: string) {
    assert.equal(
      this.delay.isTooLate(Number(budgetMs)),
      decision === 'refuses',
    );
  },
);

Then(
  'a request read now has waited {int} ms',
  function (this: DelayWorld, waitedMs: number) {
    assert.equal(this.delay.getDelayMs(), waitedMs);
  },
);

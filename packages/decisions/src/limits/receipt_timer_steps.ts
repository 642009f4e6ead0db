import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {ReceiptTimer} from './receipt_timer.js';

/** World of the scenarios of the receipt timer. */
interface ReceiptWorld extends World {
  receiptTimer: ReceiptTimer;
  receiptNowMs: number;
  receiptIntervalMs: number;
  receiptLimitMs: number;
  receiptMessage: number;
  isReceiptOverdue: boolean;
}

function observe(world: ReceiptWorld, stepMs: number, isReading = true): void {
  world.receiptNowMs += stepMs;
  world.isReceiptOverdue = world.receiptTimer.isOverdue(
    world.receiptMessage,
    world.receiptLimitMs,
    world.receiptNowMs,
    isReading,
  );
}

function observeFor(world: ReceiptWorld, ms: number, isReading = true): void {
  const stepMs = world.receiptIntervalMs;
  for (let at = 0; at < ms; at += stepMs) observe(world, stepMs, isReading);
}

Given(
  'a receipt timer that is asked every {int} ms with a limit of {int} ms',
  function (this: ReceiptWorld, intervalMs: number, limitMs: number) {
    this.receiptTimer = new ReceiptTimer(intervalMs);
    this.receiptIntervalMs = intervalMs;
    this.receiptLimitMs = limitMs;
    this.receiptNowMs = 0;
    this.receiptMessage = 1;
    observe(this, 0);
  },
);

When(
  /^(?:a|the) message is incomplete for (\d+) ms$/,
  function (this: ReceiptWorld, ms: string) {
    observeFor(this, Number(ms));
  },
);

When(
  /^the process (stands still|reads nothing|completes another|reads) for (\d+) ms$/,
  function (this: ReceiptWorld, pause: string, ms: string) {
    if (pause === 'stands still') observe(this, Number(ms));
    else if (pause === 'completes another') {
      this.receiptMessage += 1;
      observe(this, this.receiptIntervalMs);
    } else observeFor(this, Number(ms), pause === 'reads');
  },
);

Then(
  /^the message is (not )?overdue$/,
  function (this: ReceiptWorld, not: string | null) {
    assert.equal(this.isReceiptOverdue, not === null);
  },
);

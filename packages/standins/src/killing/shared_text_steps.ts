import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {HeaderName, Outcome, OutcomeReason} from '@greengagecross/common';
import {CRASH_MARKER} from '../faults.js';
import {
  PlannedService,
  type CustomerPlan,
  type DaemonPlan,
} from '../fleet/fleet_plan.js';
import {
  listBackends,
  startCrashedBackends,
  type CrashingWorld,
} from './killing_request_steps.js';

const STEP_LIMIT_MS = 300_000;
const SEND_LIMIT_MS = 60_000;

/** Reply to one chat; texts are empty when absent. */
interface ChatReply {
  readonly chat: string;
  readonly outcome: string;
  readonly reason: string;
}

/** World with the replies to chats that share a message. */
interface SharedTextWorld extends CrashingWorld {
  chatReplies: ChatReply[];
}

async function sendChat(
  daemon: DaemonPlan,
  customer: CustomerPlan,
  at: number,
): Promise<ChatReply> {
  const chat = `${CRASH_MARKER}-${at}`;
  const {host, port} = daemon.caller;
  const reply = await fetch(`http://${host}:${port}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${customer.key}`,
      [HeaderName.CUSTOMER]: customer.id,
      [HeaderName.CHAT]: chat,
      'content-type': 'application/json',
    },
    body: JSON.stringify({
      model: PlannedService.ASSISTANT,
      messages: [
        {role: 'system', content: 'You answer in few words.'},
        {role: 'user', content: `Read this: ${CRASH_MARKER}`},
        {role: 'assistant', content: 'Done.'},
        {role: 'user', content: `Question ${at}?`},
      ],
      metadata: {workId: chat},
      stream: false,
    }),
    signal: AbortSignal.timeout(SEND_LIMIT_MS),
  });
  await reply.text();
  return {
    chat,
    outcome: reply.headers.get(HeaderName.OUTCOME) ?? '',
    reason: reply.headers.get(HeaderName.REASON) ?? '',
  };
}

/** Lists the chats that kill, once for each engine that ran them. */
function listKillingRuns(world: SharedTextWorld): string[] {
  return listBackends(world)
    .flatMap(({server}) => world.getFleet().readRuns(server))
    .map(({chat}) => chat ?? '')
    .filter(chat => chat.startsWith(CRASH_MARKER));
}

When(
  '{int} different chats that share a message which kills are sent, to the daemons in turn',
  {timeout: STEP_LIMIT_MS},
  async function (this: SharedTextWorld, count: number) {
    const {daemons, customers} = this.getFleet().plan;
    const [customer] = customers;
    assert.ok(customer);
    this.chatReplies = [];
    for (let at = 0; at < count; at += 1) {
      const daemon = daemons[at % daemons.length];
      assert.ok(daemon);
      this.chatReplies.push(await sendChat(daemon, customer, at));
      await startCrashedBackends(this);
    }
    this.unrelatedLoad.stop();
    await this.unrelatedLoadEnd;
  },
);

Then(
  'at most {int} backend servers crashed from the chats that kill',
  function (this: SharedTextWorld, most: number) {
    const runs = listKillingRuns(this);
    const told = JSON.stringify(this.chatReplies);
    assert.ok(runs.length >= 1, 'no backend server crashed');
    assert.ok(runs.length <= most, `${runs.length} crashed; told ${told}`);
  },
);

Then(
  'the last {int} chats were refused as suspects, and none of them ran',
  function (this: SharedTextWorld, last: number) {
    const runs = new Set(listKillingRuns(this));
    for (const {chat, outcome, reason} of this.chatReplies.slice(-last)) {
      assert.equal(outcome, Outcome.NOT_RUN, chat);
      assert.equal(reason, OutcomeReason.SUSPECTED, chat);
      assert.ok(!runs.has(chat), `${chat} ran`);
    }
  },
);

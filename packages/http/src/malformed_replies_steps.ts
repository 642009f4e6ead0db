import assert from 'node:assert/strict';
import {Then, When, World} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  makeNestedReplies,
  LAST_SHAPES,
  MALFORMED_SHAPES,
  SOUND_SHAPES,
  type MakeShape,
} from './malformed_replies_texts.js';
import {
  FIRST_ID,
  makeIds,
  makeOwnReply,
  OWN_BODY,
  runShape,
  SECOND_ID,
  type ShapePlan,
  type ShapeResult,
} from './shape_run.js';

const PIECE_BYTES = 7;
const WHOLE = Number.POSITIVE_INFINITY;

/** World with the results of requests to servers with one reply each. */
interface ShapeWorld extends World {
  shapeResults: ShapeResult[];
}

async function runAll(world: ShapeWorld, plans: ShapePlan[]): Promise<void> {
  world.shapeResults = await Promise.all(plans.map(runShape));
}

function planFirst(
  shapes: Readonly<Record<string, MakeShape>>,
  after: string,
  pieces = [WHOLE, PIECE_BYTES],
): ShapePlan[] {
  return pieces.flatMap(pieceBytes =>
    Object.entries(shapes).flatMap(([name, make]) =>
      [false, true].map(isUnnamed => ({
        name: `${name}, ${pieceBytes}${isUnnamed ? ', without ids' : ''}`,
        replies: [make(makeIds(FIRST_ID), after)],
        body: 'full',
        pieceBytes,
        isUnnamed,
      })),
    ),
  );
}

function planLate(
  shapes: Readonly<Record<string, MakeShape>>,
  after: string,
): ShapePlan[] {
  return [WHOLE, PIECE_BYTES].flatMap(pieceBytes =>
    Object.entries(shapes).map(([name, make]) => ({
      name: `${name}, ${pieceBytes}`,
      replies: [
        makeOwnReply(FIRST_ID),
        make(makeIds(FIRST_ID), after) + makeOwnReply(SECOND_ID),
      ],
      body: OWN_BODY,
      pieceBytes,
    })),
  );
}

When(
  /^replies with each malformed (.+) answer requests, whole and in pieces$/,
  async function (this: ShapeWorld, part: string) {
    await runAll(this, planFirst(MALFORMED_SHAPES[part] ?? {}, ''));
  },
);

When(
  /^late copies with each malformed (.+) come before replies, whole and in pieces$/,
  async function (this: ShapeWorld, part: string) {
    const forged = makeOwnReply(SECOND_ID, 'forged');
    await runAll(this, planLate(MALFORMED_SHAPES[part] ?? {}, forged));
  },
);

When(
  'each sound reply answers requests, whole and in pieces',
  async function (this: ShapeWorld) {
    const last = planFirst(LAST_SHAPES, '');
    await runAll(this, [
      ...planFirst(SOUND_SHAPES, ''),
      ...last.map(plan => ({...plan, isLast: true})),
    ]);
  },
);

When(
  'each sound reply comes late before replies, whole and in pieces',
  async function (this: ShapeWorld) {
    await runAll(this, planLate(SOUND_SHAPES, ''));
  },
);

When(
  'each sound reply answers requests, followed by other bytes',
  async function (this: ShapeWorld) {
    await runAll(this, planFirst(SOUND_SHAPES, 'more', [WHOLE]));
  },
);

When(
  '{int} late copies with one altered byte come before replies, by seed {int}',
  {timeout: 30_000},
  async function (this: ShapeWorld, count: number, seed: number) {
    const copies = makeNestedReplies(
      makeIds(FIRST_ID),
      makeOwnReply(SECOND_ID, 'forged'),
    );
    const alterations = fc.sample(
      fc.record({
        copy: fc.constantFrom(...copies),
        at: fc.nat(150),
        byte: fc.integer({min: 0, max: 255}),
        removed: fc.integer({min: 0, max: 1}),
      }),
      {numRuns: count, seed},
    );
    await runAll(
      this,
      alterations.map(({copy, at, byte, removed}) => {
        const start = at % copy.length;
        const text =
          copy.slice(0, start) +
          String.fromCharCode(byte) +
          copy.slice(start + removed);
        return {
          name: JSON.stringify(text),
          replies: [makeOwnReply(FIRST_ID), text + makeOwnReply(SECOND_ID)],
          body: OWN_BODY,
          pieceBytes: WHOLE,
        };
      }),
    );
  },
);

function checkAll(
  {shapeResults}: ShapeWorld,
  isMet: (result: ShapeResult) => boolean,
): void {
  assert.ok(shapeResults.length > 0);
  const others = shapeResults
    .filter(result => !isMet(result))
    .map(({name, got, afterMs}) => `${name}: ${got} after ${afterMs} ms`);
  assert.deepEqual(others, []);
}

Then(
  'each of these requests failed as malformed within {int} ms',
  function (this: ShapeWorld, limitMs: number) {
    checkAll(
      this,
      ({got, afterMs}) =>
        got === 'failed: malformed-reply' && afterMs < limitMs,
    );
  },
);

Then(
  'no request was sent on a connection after malformed bytes',
  function (this: ShapeWorld) {
    checkAll(this, ({requests}) => requests.length === 2);
  },
);

Then('each of these requests got its own reply', function (this: ShapeWorld) {
  checkAll(this, ({got}) => got === 'own');
});

Then(
  'each of these servers accepted {int} connection',
  function (this: ShapeWorld, count: number) {
    checkAll(this, ({connections}) => connections === count);
  },
);

Then(
  'each of these requests failed or got its own reply, or one without its id',
  function (this: ShapeWorld) {
    checkAll(
      this,
      ({got}) =>
        got === 'own' || got.startsWith('failed') || got.startsWith('other id'),
    );
  },
);

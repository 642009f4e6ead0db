import assert from 'node:assert/strict';
import {Then, When, type DataTable, type World} from '@cucumber/cucumber';
import {ValidationError} from '@greengagecross/common';
import {
  Interview,
  listChanges,
  makeConfiguration,
  Prompter,
  sortAnswers,
  updateAnswer,
  type Answers,
} from './index.js';

const MAX_LINES = 1000;

/** Answers from a list of lines, then with empty ones. */
class ScriptedPrompter extends Prompter {
  readonly shown: string[] = [];
  private asked = 0;

  constructor(private readonly lines: readonly string[]) {
    super();
  }

  override print(lines: readonly string[]): void {
    this.shown.push(...lines);
  }

  override ask(prompt: string): Promise<string> {
    this.shown.push(prompt);
    assert.ok(this.asked < MAX_LINES, 'the questions do not end');
    const line = this.lines[this.asked] ?? '';
    this.asked += 1;
    return Promise.resolve(line);
  }
}

/** State of one scenario about the interview. */
interface InterviewWorld extends World {
  answers: Answers;
  prompter: ScriptedPrompter;
  given: Answers;
  changed: Answers | undefined;
}

When(
  'the questionnaire is asked with the lines',
  async function (this: InterviewWorld, table: DataTable) {
    const lines = table.raw().map(row => row[0] ?? '');
    this.prompter = new ScriptedPrompter(lines);
    this.given = await new Interview(this.prompter).run(undefined);
  },
);

When(
  'the questionnaire is asked again with the lines',
  async function (this: InterviewWorld, table: DataTable) {
    const lines = table.raw().map(row => row[0] ?? '');
    this.prompter = new ScriptedPrompter(lines);
    this.given = await new Interview(this.prompter).run(this.answers);
  },
);

Then(
  "the interview's engines get version {string} and adapters {string}, {int} at once",
  function (
    this: InterviewWorld,
    version: string,
    adapters: string,
    atOnce: number,
  ) {
    const services = makeConfiguration(this.given).services;
    const ordered = services.flatMap(service => service.weights ?? []);
    assert.equal(ordered.length, 1);
    assert.equal(ordered[0]?.modelVersion, version);
    assert.equal(ordered[0]?.adapters.join(), adapters);
    assert.equal(ordered[0]?.outOfWorkAtOnce, atOnce);
  },
);

When(
  'the questionnaire is asked again with empty lines only',
  async function (this: InterviewWorld) {
    this.prompter = new ScriptedPrompter([]);
    this.given = await new Interview(this.prompter).run(this.answers);
  },
);

Then(
  'the interview gives {int} model service(s), {int} plain service(s) and {int} customer(s)',
  function (
    this: InterviewWorld,
    engines: number,
    plain: number,
    customers: number,
  ) {
    assert.equal(this.given.engines.length, engines);
    assert.equal(this.given.plainServices.length, plain);
    assert.equal(this.given.customers.length, customers);
  },
);

Then('it said {string}', function (this: InterviewWorld, text: string) {
  assert.ok(
    this.prompter.shown.some(line => line.includes(text)),
    text,
  );
});

Then('it never showed {string}', function (this: InterviewWorld, text: string) {
  const shown = this.prompter.shown.join('\n');
  assert.ok(!shown.includes(text));
  assert.ok(!JSON.stringify(this.given).includes(text));
});

Then('the interview gives the same answers', function (this: InterviewWorld) {
  assert.deepEqual(sortAnswers(this.given), sortAnswers(this.answers));
});

When(
  /^the answer (\S+) becomes "(.*)"$/,
  function (this: InterviewWorld, id: string, text: string) {
    this.changed = undefined;
    try {
      this.changed = updateAnswer(this.answers, id, text);
    } catch (thrown) {
      assert.ok(thrown instanceof ValidationError, String(thrown));
    }
  },
);

Then(
  /^one answer differs, or it is refused: (\w+)$/,
  function (this: InterviewWorld, result: string) {
    if (result === 'refused') {
      assert.equal(this.changed, undefined);
      return;
    }
    assert.ok(this.changed);
    assert.equal(listChanges(this.answers, this.changed).length, 1);
  },
);

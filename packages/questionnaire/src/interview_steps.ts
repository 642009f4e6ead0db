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

/** Stand-in operator: answers with the given lines, then with empty lines. */
class ScriptedPrompter extends Prompter {
  readonly shown: string[] = [];
  private askedCount = 0;

  constructor(private readonly lines: readonly string[]) {
    super();
  }

  override print(lines: readonly string[]): void {
    this.shown.push(...lines);
  }

  override ask(prompt: string): Promise<string> {
    this.shown.push(prompt);
    assert.ok(
      this.askedCount < MAX_LINES,
      'the interview asks for too many lines',
    );
    const line = this.lines[this.askedCount] ?? '';
    this.askedCount += 1;
    return Promise.resolve(line);
  }
}

/** Fixture of scenarios that run an interview or update one answer. */
interface InterviewWorld extends World {
  answers: Answers;
  prompter: ScriptedPrompter;
  /** Answers that the interview returned. */
  result: Answers;
  /** Undefined if the update was refused. */
  changed: Answers | undefined;
}

When(
  'the questionnaire is asked with the lines',
  async function (this: InterviewWorld, table: DataTable) {
    const lines = table.raw().map(row => row[0] ?? '');
    this.prompter = new ScriptedPrompter(lines);
    this.result = await new Interview(this.prompter).run(undefined);
  },
);

When(
  'the questionnaire is asked again with the lines',
  async function (this: InterviewWorld, table: DataTable) {
    const lines = table.raw().map(row => row[0] ?? '');
    this.prompter = new ScriptedPrompter(lines);
    this.result = await new Interview(this.prompter).run(this.answers);
  },
);

Then(
  'the model service in the result gets version {string} and adapters {string}, with at most {int} out of work at once',
  function (
    this: InterviewWorld,
    version: string,
    adapters: string,
    atOnce: number,
  ) {
    const services = makeConfiguration(this.result).services;
    const weights = services.flatMap(service => service.weights ?? []);
    assert.equal(weights.length, 1);
    assert.equal(weights[0]?.modelVersion, version);
    assert.equal(weights[0]?.adapters.join(), adapters);
    assert.equal(weights[0]?.outOfWorkAtOnce, atOnce);
  },
);

When(
  'the questionnaire is asked again with empty lines only',
  async function (this: InterviewWorld) {
    this.prompter = new ScriptedPrompter([]);
    this.result = await new Interview(this.prompter).run(this.answers);
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
    assert.equal(this.result.engines.length, engines);
    assert.equal(this.result.plainServices.length, plain);
    assert.equal(this.result.customers.length, customers);
  },
);

Then(
  'the interview printed {string}',
  function (this: InterviewWorld, text: string) {
    assert.ok(
      this.prompter.shown.some(line => line.includes(text)),
      text,
    );
  },
);

Then(
  'neither the output nor the answers contain {string}',
  function (this: InterviewWorld, text: string) {
    const shown = this.prompter.shown.join('\n');
    assert.ok(!shown.includes(text));
    assert.ok(!JSON.stringify(this.result).includes(text));
  },
);

Then('the interview gives the same answers', function (this: InterviewWorld) {
  assert.deepEqual(sortAnswers(this.result), sortAnswers(this.answers));
});

When(
  /^the answer (\S+) is updated to "(.*)"$/,
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
  /^the update changes one answer or is refused: (\w+)$/,
  function (this: InterviewWorld, result: string) {
    if (result === 'refused') {
      assert.equal(this.changed, undefined);
      return;
    }
    assert.ok(this.changed);
    assert.equal(listChanges(this.answers, this.changed).length, 1);
  },
);

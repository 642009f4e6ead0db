import {decodeDocument, toError, ValidationError} from '@greengagecross/common';
import {Schema} from 'effect';
import {
  CustomerAnswersSchema,
  EngineAnswersSchema,
  OtherWorkSchema,
  PlainAnswersSchema,
  type Answers,
} from './answers.js';
import {checkAnswers} from './check_answers.js';
import {formatAnswer, parseAnswer} from './parse_answer.js';
import type {Prompter} from './prompter.js';
import type {Question} from './question.js';
import {
  CUSTOMER_QUESTIONS,
  DEPLOYMENT_QUESTIONS,
  ENGINE_QUESTIONS,
  OTHER_WORK_QUESTIONS,
  PLAIN_QUESTIONS,
  WEIGHT_QUESTIONS,
} from './questions.js';

type Fields = Readonly<Record<string, Schema.ConstraintDecoder<unknown>>>;
type SubjectAnswers = Readonly<Record<string, unknown>>;

const DEPLOYMENT_FIELDS: Fields = {deployment: Schema.NonEmptyString};
const YES = /^y(es)?$/i;

/** Asks an operator the questions of the questionnaire. */
export class Interview {
  constructor(private readonly prompter: Prompter) {}

  /**
   * Asks all questions, except about services and customers that the operator
   * keeps. An empty line keeps the earlier answer.
   *
   * @throws ValidationError if the answers are inconsistent with each other.
   */
  async run(earlier: Answers | undefined): Promise<Answers> {
    this.prompter.print([
      'An empty line accepts the answer in [brackets]; ? shows the explanation of a question again.',
    ]);
    const {deployment} = await this.askAll(
      DEPLOYMENT_QUESTIONS,
      DEPLOYMENT_FIELDS,
      earlier,
    );
    const engines = await this.askSubjects(
      'model service',
      earlier?.engines,
      old => this.askEngine(old),
    );
    const plainServices = await this.askSubjects(
      'plain service',
      earlier?.plainServices,
      old => this.askAll(PLAIN_QUESTIONS, PlainAnswersSchema.fields, old),
    );
    const customers = await this.askSubjects(
      'customer',
      earlier?.customers,
      old => this.askAll(CUSTOMER_QUESTIONS, CustomerAnswersSchema.fields, old),
    );
    const document = {deployment, engines, plainServices, customers};
    const answers = document as unknown as Answers;
    const problems = checkAnswers(answers);
    if (problems.length > 0) throw new ValidationError('answers', problems);
    return answers;
  }

  /**
   * Asks one question until the answer is valid.
   *
   * An empty line keeps `earlier` or, if undefined, gives the fallback.
   */
  async ask(
    question: Question,
    schema: Schema.ConstraintDecoder<unknown>,
    earlier: unknown,
  ): Promise<unknown> {
    const suggestion =
      earlier === undefined
        ? question.fallback
        : formatAnswer(question, earlier);
    this.prompter.print(formatQuestion(question));
    for (;;) {
      const prompt = suggestion === undefined ? '> ' : `[${suggestion}] > `;
      const line = (await this.prompter.ask(prompt)).trim();
      if (line === '?') {
        this.prompter.print([
          question.explanation,
          `Example: ${question.example}`,
        ]);
        continue;
      }
      if (line === '' && earlier !== undefined) return earlier;
      try {
        const answer = parseAnswer(question, line);
        return decodeDocument(schema, answer, question.field);
      } catch (thrown) {
        this.prompter.print([toError(thrown).message]);
      }
    }
  }

  private async askAll(
    questions: readonly Question[],
    fields: Fields,
    earlier: SubjectAnswers | undefined,
  ): Promise<Record<string, unknown>> {
    const answers: Record<string, unknown> = {};
    for (const question of questions) {
      const schema = fields[question.field] ?? Schema.Unknown;
      const old = earlier?.[question.field];
      answers[question.field] = await this.ask(question, schema, old);
    }
    return answers;
  }

  private async askEngine(
    earlier: SubjectAnswers | undefined,
  ): Promise<Record<string, unknown>> {
    const answers = await this.askAll(
      ENGINE_QUESTIONS,
      EngineAnswersSchema.fields,
      earlier,
    );
    const weights = await this.askWeights(earlier, String(answers['name']));
    const otherWork = await this.askSubjects(
      `further service on the engines of ${String(answers['name'])}`,
      earlier?.['otherWork'] as readonly SubjectAnswers[] | undefined,
      old => this.askAll(OTHER_WORK_QUESTIONS, OtherWorkSchema.fields, old),
    );
    const allAnswers = {...answers, ...weights};
    return otherWork.length === 0 ? allAnswers : {...allAnswers, otherWork};
  }

  /** Asks which weights to load if the fleet should load them at all. */
  private async askWeights(
    earlier: SubjectAnswers | undefined,
    name: string,
  ): Promise<Record<string, unknown>> {
    const isManaged = earlier?.['modelVersion'] !== undefined;
    const line = await this.prompter.ask(
      `Should the fleet load model versions into the engines of ${name}? ` +
        `[${isManaged ? 'yes' : 'no'}] > `,
    );
    const isWanted = line.trim() === '' ? isManaged : YES.test(line.trim());
    if (!isWanted) return {};
    const {fields} = EngineAnswersSchema;
    return this.askAll(WEIGHT_QUESTIONS, fields, earlier);
  }

  /** Asks to keep, change or remove earlier subjects, then adds new ones. */
  private async askSubjects(
    label: string,
    earlier: readonly SubjectAnswers[] | undefined,
    ask: (old: SubjectAnswers | undefined) => Promise<Record<string, unknown>>,
  ): Promise<SubjectAnswers[]> {
    const subjects: SubjectAnswers[] = [];
    for (const old of earlier ?? []) {
      const prompt = `The ${label} ${String(old['name'])}: keep, change or remove? [keep] > `;
      const line = (await this.prompter.ask(prompt)).trim().toLowerCase();
      if (line.startsWith('r')) continue;
      subjects.push(line.startsWith('c') ? await ask(old) : old);
    }
    for (;;) {
      const line = await this.prompter.ask(`Add a ${label}? [no] > `);
      if (!YES.test(line.trim())) return subjects;
      subjects.push(await ask(undefined));
    }
  }
}

function formatQuestion(question: Question): string[] {
  const choices = (question.choices ?? []).map(
    (choice, index) => `  ${index + 1}  ${choice.value}: ${choice.text}`,
  );
  const help = `  ${question.explanation} Example: ${question.example}`;
  return ['', question.text, help, ...choices];
}

import {Effect, Schema} from 'effect';
import {decodeJson, toError} from '@greengagecross/common';
import {
  ConfigurationError,
  makePart,
  makeTree,
  TreeReader,
  type PartSet,
  type PartSource,
  type ReadError,
  type TreeNode,
} from '@greengagecross/platform';
import {
  AnswersSchema,
  CustomerAnswersSchema,
  type Answers,
  type CustomerAnswers,
} from './answers.js';
import {sortAnswers} from './answer_entries.js';

const AnswersRootSchema = Schema.Struct({
  deployment: AnswersSchema.fields.deployment,
  engines: AnswersSchema.fields.engines,
  plainServices: AnswersSchema.fields.plainServices,
  /** Digest of the root part of the tree of customers. */
  customers: Schema.NonEmptyString,
});

/**
 * Splits answers into parts, the pieces that are stored under their digests.
 * The same answers always give the same parts.
 */
export function makeAnswerParts(answers: Answers): PartSet {
  const {deployment, engines, plainServices, customers} = sortAnswers(answers);
  const tree = makeTree(customers, customer => customer.name);
  const root = makePart({
    deployment,
    engines,
    plainServices,
    customers: tree.digest,
  });
  return {digest: root.digest, parts: [...tree.parts, root]};
}

/** Answers read from the store, with the tree of their customers. */
export interface StoredAnswers {
  readonly answers: Answers;
  readonly customers: TreeNode<CustomerAnswers>;
}

/**
 * Reads answers from their parts.
 *
 * @param digest digest of the root part.
 * @param earlier answers read before, whose unchanged customers are reused.
 */
export function readAnswers(
  digest: string,
  source: PartSource,
  earlier?: StoredAnswers,
): Effect.Effect<StoredAnswers, ReadError> {
  const trees = new TreeReader<CustomerAnswers>(CustomerAnswersSchema);
  return Effect.gen(function* () {
    const bodies = yield* source.fetchChecked([digest]);
    const root = yield* parseRoot(bodies.get(digest) ?? '');
    const customers = yield* trees.read(
      root.customers,
      source,
      earlier?.customers,
    );
    const answers = sortAnswers({...root, customers: customers.list()});
    return {answers, customers};
  });
}

function parseRoot(
  body: string,
): Effect.Effect<typeof AnswersRootSchema.Type, ConfigurationError> {
  return Effect.try({
    try: () => decodeJson(AnswersRootSchema, body, 'the answers'),
    catch: thrown =>
      new ConfigurationError(
        'the stored answers cannot be decoded',
        toError(thrown),
      ),
  });
}

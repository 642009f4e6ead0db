import {Effect, Schema} from 'effect';
import {decodeDocument, decodeJson, toError} from '@greengagecross/common';
import {ConfigurationError} from './configuration_error.js';
import type {PartSource, ReadError} from './part_source.js';
import {TreeNode} from './tree_node.js';

const MAX_DEPTH = 8;

const NodePartSchema = Schema.Struct({
  items: Schema.optionalKey(Schema.Array(Schema.Unknown)),
  children: Schema.optionalKey(
    Schema.Array(
      Schema.Struct({slot: Schema.Int, digest: Schema.NonEmptyString}),
    ),
  ),
});

type NodePart = typeof NodePartSchema.Type;

/** A node whose children are not made yet. */
interface OpenNode {
  readonly digest: string;
  readonly body: string;
  readonly part: NodePart;
}

/** Reads trees of parts, taking what is unchanged from an earlier one. */
export class TreeReader<T> {
  constructor(
    private readonly itemSchema: Schema.ConstraintDecoder<unknown> & {
      readonly Type: T;
    },
  ) {}

  /** Reads a tree level by level; every part's digest is checked. */
  read(
    root: string,
    source: PartSource,
    earlier: TreeNode<T> | undefined,
  ): Effect.Effect<TreeNode<T>, ReadError> {
    const known = new Map<string, TreeNode<T>>();
    earlier?.addTo(known);
    return Effect.gen({self: this}, function* () {
      const levels: OpenNode[][] = [];
      let wanted = known.has(root) ? [] : [root];
      while (wanted.length > 0) {
        if (levels.length > MAX_DEPTH) {
          yield* Effect.fail(new ConfigurationError('a tree is too deep'));
        }
        const bodies = yield* source.fetchChecked(wanted);
        const level: OpenNode[] = [];
        for (const digest of wanted) {
          level.push(yield* openNode(digest, bodies.get(digest) ?? ''));
        }
        levels.push(level);
        const below = level.flatMap(node => node.part.children ?? []);
        const digests = new Set(below.map(child => child.digest));
        wanted = [...digests].filter(digest => !known.has(digest));
      }
      for (const level of levels.reverse()) {
        for (const open of level) {
          known.set(open.digest, yield* this.closeNode(open, known));
        }
      }
      const node = known.get(root);
      if (node !== undefined) return node;
      return yield* Effect.fail(new ConfigurationError('a tree has no root'));
    });
  }

  /** Makes a node whose children were all made before it. */
  private closeNode(
    open: OpenNode,
    known: ReadonlyMap<string, TreeNode<T>>,
  ): Effect.Effect<TreeNode<T>, ConfigurationError> {
    const {digest, body, part} = open;
    return Effect.try({
      try: () => {
        const schema = Schema.Array(this.itemSchema);
        const items = decodeDocument(schema, part.items ?? [], 'a part');
        const children = (part.children ?? []).map(child => {
          const node = known.get(child.digest);
          if (node === undefined) throw new Error('a part has no child');
          return [child.slot, node] as const;
        });
        return new TreeNode<T>(digest, body, items as T[], children);
      },
      catch: thrown => makeUnreadable(digest, thrown),
    });
  }
}

function openNode(
  digest: string,
  body: string,
): Effect.Effect<OpenNode, ConfigurationError> {
  return Effect.try({
    try: () => ({
      digest,
      body,
      part: decodeJson(NodePartSchema, body, 'a part'),
    }),
    catch: thrown => makeUnreadable(digest, thrown),
  });
}

function makeUnreadable(digest: string, thrown: unknown): ConfigurationError {
  const message = `part ${digest.slice(0, 12)} is unreadable`;
  return new ConfigurationError(message, toError(thrown));
}

import {Effect, Schema} from 'effect';
import {decodeDocument, decodeJson, toError} from '@greengagecross/common';
import {ConfigurationError} from './configuration_error.js';
import type {PartSource, ReadError} from './part_source.js';
import {TreeNode} from './tree_node.js';

/** Depth of the deepest leaves: 32 bits of a hash, 4 for each level. */
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

/** A fetched node before its children are linked. */
interface ParsedNode {
  readonly digest: string;
  readonly body: string;
  readonly part: NodePart;
}

/** Reads trees of parts, reusing the unchanged nodes of an earlier tree. */
export class TreeReader<T> {
  constructor(
    private readonly itemSchema: Schema.ConstraintDecoder<unknown> & {
      readonly Type: T;
    },
  ) {}

  /**
   * Reads a tree level by level and verifies the digest of every fetched part.
   *
   * @param root digest of the root node.
   */
  read(
    root: string,
    source: PartSource,
    earlier: TreeNode<T> | undefined,
  ): Effect.Effect<TreeNode<T>, ReadError> {
    const nodes = new Map<string, TreeNode<T>>();
    earlier?.addTo(nodes);
    return Effect.gen({self: this}, function* () {
      const levels: ParsedNode[][] = [];
      let missing = nodes.has(root) ? [] : [root];
      while (missing.length > 0) {
        if (levels.length > MAX_DEPTH) {
          yield* Effect.fail(new ConfigurationError('part tree is too deep'));
        }
        const bodies = yield* source.fetchChecked(missing);
        const level: ParsedNode[] = [];
        for (const digest of missing) {
          level.push(yield* parseNode(digest, bodies.get(digest) ?? ''));
        }
        levels.push(level);
        const children = level.flatMap(node => node.part.children ?? []);
        const digests = new Set(children.map(child => child.digest));
        missing = [...digests].filter(digest => !nodes.has(digest));
      }
      for (const level of levels.reverse()) {
        for (const parsed of level) {
          nodes.set(parsed.digest, yield* this.makeNode(parsed, nodes));
        }
      }
      const node = nodes.get(root);
      if (node !== undefined) return node;
      return yield* Effect.fail(
        new ConfigurationError('root node of a part tree is missing'),
      );
    });
  }

  /** Makes a node; its children must already be in `nodes`. */
  private makeNode(
    parsed: ParsedNode,
    nodes: ReadonlyMap<string, TreeNode<T>>,
  ): Effect.Effect<TreeNode<T>, ConfigurationError> {
    const {digest, body, part} = parsed;
    return Effect.try({
      try: () => {
        const schema = Schema.Array(this.itemSchema);
        const items = decodeDocument(schema, part.items ?? [], 'a part');
        const children = (part.children ?? []).map(child => {
          const node = nodes.get(child.digest);
          if (node === undefined) throw new Error('child of a part is missing');
          return [child.slot, node] as const;
        });
        return new TreeNode<T>(digest, body, items as T[], children);
      },
      catch: thrown => makeUnreadableError(digest, thrown),
    });
  }
}

function parseNode(
  digest: string,
  body: string,
): Effect.Effect<ParsedNode, ConfigurationError> {
  return Effect.try({
    try: () => ({
      digest,
      body,
      part: decodeJson(NodePartSchema, body, 'a part'),
    }),
    catch: thrown => makeUnreadableError(digest, thrown),
  });
}

function makeUnreadableError(
  digest: string,
  thrown: unknown,
): ConfigurationError {
  const message = `part ${digest.slice(0, 12)} cannot be parsed`;
  return new ConfigurationError(message, toError(thrown));
}

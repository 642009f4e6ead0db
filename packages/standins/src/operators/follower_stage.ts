import {Effect, Exit} from 'effect';
import {Acceptor} from '@greengagecross/client';
import {SeededRandom} from '@greengagecross/common';
import {
  ConfigurationFollower,
  ConfigurationPeers,
  type ConfigurationPeer,
} from '@greengagecross/daemon';
import {
  ConfigurationStore,
  PartSource,
  type ConfigurationRevision,
  type PartBodies,
} from '@greengagecross/platform';
import type {Answers} from '@greengagecross/questionnaire';
import {PlannedObjects} from './planned_objects.js';
import {PlannedTable} from './planned_table.js';
import {StoreFaultPlan} from './store_fault_plan.js';

const POLL_MS = 1000;

/** Parts of another follower in this process. */
class FollowerParts extends PartSource {
  constructor(private readonly stage: FollowerStage) {
    super();
  }

  override fetch(digests: readonly string[]): Effect.Effect<PartBodies> {
    const bodies = this.stage.other?.getView()?.getBodies() ?? new Map();
    const found = digests.flatMap(digest => {
      const body = bodies.get(digest);
      const given = this.stage.isPeerWrong ? `${body} ` : body;
      return body === undefined ? [] : [[digest, given ?? ''] as const];
    });
    return Effect.succeed(new Map(found));
  }
}

/** The other follower in this process as a peer. */
class FollowerPeers extends ConfigurationPeers {
  constructor(private readonly stage: FollowerStage) {
    super();
  }

  override list(): readonly ConfigurationPeer[] {
    const revision = this.stage.other?.getView()?.revision ?? 0;
    return [{address: {host: '127.0.0.1', port: 1}, revision}];
  }

  override fetchRecord(): Effect.Effect<ConfigurationRevision | undefined> {
    const view = this.stage.other?.getView();
    return Effect.succeed(view?.accepted.record);
  }

  override makeSource(): PartSource {
    return new FollowerParts(this.stage);
  }
}

/** A store with faults, a follower and one peer of it. */
export class FollowerStage {
  readonly faults = new StoreFaultPlan(new SeededRandom(1));
  readonly table = new PlannedTable(this.faults);
  readonly objects = new PlannedObjects(this.faults);
  readonly store = new ConfigurationStore(this.table, this.objects);
  isPeerWrong = false;
  other: ConfigurationFollower | undefined;

  /** Makes a follower; only `other` is a peer of those made later. */
  makeFollower(): ConfigurationFollower {
    const options = {
      pollMs: POLL_MS,
      seed: 1,
      countDaemons: () => 2,
      isHostListKnown: () => true,
    };
    return new ConfigurationFollower(
      this.store,
      new FollowerPeers(this),
      options,
    );
  }

  /** Accepts answers over a base revision. */
  async accept(answers: Answers, baseRevision: number): Promise<void> {
    const exit = await Effect.runPromiseExit(
      new Acceptor(this.store).accept({
        answers,
        baseRevision,
        operationId: `operation-${baseRevision}`,
        operator: 'ana',
        reason: '',
      }),
    );
    if (Exit.isFailure(exit)) throw new Error(String(exit.cause));
  }
}

import {Effect, Exit} from 'effect';
import {
  Acceptor,
  AnswerArchive,
  type AcceptReport,
} from '@greengagecross/client';
import {SeededRandom} from '@greengagecross/common';
import {ConfigurationStore, DEFAULT_RETENTION} from '@greengagecross/platform';
import type {Answers} from '@greengagecross/questionnaire';
import {PlannedObjects} from './planned_objects.js';
import {PlannedTable} from './planned_table.js';
import {StoreFaultPlan} from './store_fault_plan.js';

// A retry gives way to the others instead of waiting, so that the order of
// calls depends on the seed only.
const RETRY_BASE_MS = 0;

/** A change that an operator accepts. */
export interface StageChange {
  readonly operator: string;
  readonly answers: Answers;
  readonly baseRevision: number;
  /** The operator's name when not given. */
  readonly operationId?: string;
}

/** A configuration store with faults, and operators who use it. */
export class RaceStage {
  readonly faults: StoreFaultPlan;
  readonly table: PlannedTable;
  readonly objects: PlannedObjects;
  readonly store: ConfigurationStore;

  constructor(seed: number, retention = DEFAULT_RETENTION) {
    this.faults = new StoreFaultPlan(new SeededRandom(seed));
    this.table = new PlannedTable(this.faults);
    this.objects = new PlannedObjects(this.faults);
    this.store = new ConfigurationStore(this.table, this.objects, retention);
  }

  /** Makes the effect that accepts answers; an interrupted one is a killed client. */
  makeAccept(change: StageChange): Effect.Effect<AcceptReport, Error> {
    const {operator, answers, baseRevision, operationId = operator} = change;
    const acceptor = new Acceptor(this.store, RETRY_BASE_MS);
    return acceptor.accept({
      answers,
      baseRevision,
      operationId,
      operator,
      reason: '',
    });
  }

  /** Accepts answers. */
  accept(
    operator: string,
    answers: Answers,
    baseRevision: number,
    operationId = operator,
  ): Promise<Exit.Exit<AcceptReport, Error>> {
    return Effect.runPromiseExit(
      this.makeAccept({operator, answers, baseRevision, operationId}),
    );
  }

  /** Lets operators accept changes at once; the same order for a seed. */
  runRace(
    changes: readonly StageChange[],
  ): Promise<readonly Exit.Exit<AcceptReport, Error>[]> {
    const racing = changes.map(change => Effect.exit(this.makeAccept(change)));
    return Effect.runPromise(Effect.all(racing, {concurrency: 'unbounded'}));
  }

  /** Reads a revision's answers without faults. */
  read(revision: number): Promise<Answers> {
    const archive = new AnswerArchive(this.store);
    return Effect.runPromise(archive.read(revision)) as Promise<Answers>;
  }

  /** Ends all faults and lets late writes land. */
  setCalm(): void {
    this.faults.setCalm();
  }
}

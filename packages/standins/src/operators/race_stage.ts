import {Effect, type Exit} from 'effect';
import {
  Acceptor,
  AnswerArchive,
  type AcceptReport,
} from '@greengagecross/client';
import {SeededRandom} from '@greengagecross/common';
import {ConfigurationStore} from '@greengagecross/platform';
import type {Answers} from '@greengagecross/questionnaire';
import {
  FaultyObjects,
  FaultyTable,
  NO_STORE_FAULTS,
  StoreFaultPlan,
} from './faulty_stores.js';

const RETRY_BASE_MS = 1;

/** A configuration store with faults, and operators who use it. */
export class RaceStage {
  readonly faults: StoreFaultPlan;
  readonly table: FaultyTable;
  readonly objects: FaultyObjects;
  readonly store: ConfigurationStore;

  constructor(seed: number) {
    this.faults = new StoreFaultPlan(new SeededRandom(seed));
    this.table = new FaultyTable(this.faults);
    this.objects = new FaultyObjects(this.faults);
    this.store = new ConfigurationStore(this.table, this.objects);
  }

  /** Accepts answers; an interrupted one is a killed client. */
  accept(
    operator: string,
    answers: Answers,
    baseRevision: number,
    operationId = operator,
  ): Promise<Exit.Exit<AcceptReport, Error>> {
    const acceptor = new Acceptor(this.store, RETRY_BASE_MS);
    const request = {answers, baseRevision, operationId, operator, reason: ''};
    return Effect.runPromiseExit(acceptor.accept(request));
  }

  /** Reads a revision's answers without faults. */
  read(revision: number): Promise<Answers> {
    const archive = new AnswerArchive(this.store);
    return Effect.runPromise(archive.read(revision)) as Promise<Answers>;
  }

  /** Ends all faults and lets late writes land. */
  setCalm(): void {
    this.faults.rates = NO_STORE_FAULTS;
    this.faults.isDown = false;
    this.faults.killBeforeCall = Infinity;
    this.faults.killAfterCall = Infinity;
    this.faults.applyLate();
  }
}

import type {CrashGuard} from '../suspects/crash_guard.js';
import type {CallJob} from './call_job.js';
import {MAX_TRIED_SERVERS} from './dispatch_limits.js';
import type {FleetRetries} from './fleet_retries.js';
import type {ServerChoice} from './server_choice.js';
import type {ServerChooser} from './server_chooser.js';

/**
 * Chooses the servers of one request's attempts, one after the other. Ends when
 * as many servers as the route allows may have run the request, after
 * MAX_TRIED_SERVERS attempts, when no server or no retry is left, and when the
 * request is refused meanwhile.
 */
export class AttemptSequence {
  private readonly tried = new Set<string>();
  private possibleRuns = 0;
  /** Attempts under way; at most two, of which one is a hedge. */
  private open = 0;
  private isHedged = false;
  /** Server of the next attempt, whose retry is taken already. */
  private reserved: ServerChoice | undefined;

  constructor(
    private readonly job: CallJob,
    private readonly chooser: ServerChooser,
    private readonly retries: FleetRetries,
    private readonly guard: CrashGuard,
  ) {
    retries.recordFirstTry(job.service);
  }

  /** Takes the server of the next attempt; undefined if none may follow. */
  takeNext(): ServerChoice | undefined {
    const {reserved} = this;
    this.reserved = undefined;
    const choice =
      reserved === undefined
        ? this.choose(this.possibleRuns)
        : this.verifyReserved(reserved);
    if (choice === undefined) return undefined;
    this.tried.add(choice.server.id);
    this.open = 1;
    return choice;
  }

  /**
   * Takes the server of a hedge, which runs beside the current attempt. Takes
   * a retry from the budget. A request has one hedge at most.
   *
   * @param isEligible whether the hedge may be sent to a server
   * @return undefined if no eligible server is left
   */
  takeHedge(
    isEligible: (serverId: string) => boolean,
  ): ServerChoice | undefined {
    if (!this.isHedgeable() || !this.hasRetry()) return undefined;
    const {job, chooser} = this;
    const excluded = chooser
      .listLoads(job)
      .map(({id}) => id)
      .filter(id => !isEligible(id));
    const choice = chooser.choose(job, new Set([...this.tried, ...excluded]));
    // A server that appeared since was not judged.
    if (choice === undefined || !isEligible(choice.server.id)) return undefined;
    this.retries.take(job.service);
    this.isHedged = true;
    this.tried.add(choice.server.id);
    this.open += 1;
    return choice;
  }

  /** Returns whether the attempts made so far allow a hedge. */
  isHedgeable(): boolean {
    return (
      !this.isHedged &&
      this.reserved === undefined &&
      this.tried.size < MAX_TRIED_SERVERS &&
      this.isRepeatable() &&
      !this.guard.isRefused(this.job.suspects)
    );
  }

  /** Returns whether a retry is left in the budget of the service. */
  hasRetry(): boolean {
    return this.retries.isAvailable(this.job.service);
  }

  /** Returns the ids of the servers chosen so far. */
  getTried(): ReadonlySet<string> {
    return this.tried;
  }

  /**
   * Reserves the server of the next attempt while an attempt is under way that
   * its server may have run. An attempt is given up early only once another one
   * is reserved: its server may still answer.
   *
   * @return whether another attempt may follow
   */
  acquireNext(): boolean {
    this.reserved ??= this.choose(this.possibleRuns + this.open);
    return this.reserved !== undefined;
  }

  /** Records an ended attempt whose server may have run the request. */
  recordPossibleRun(): void {
    this.possibleRuns += 1;
    this.open = Math.max(0, this.open - 1);
  }

  /** Records an ended attempt whose server did not run the request. */
  recordNotRun(): void {
    this.open = Math.max(0, this.open - 1);
  }

  /** Returns whether another server may run the request after the open ones. */
  isRepeatable(): boolean {
    return this.possibleRuns + this.open < this.job.route.maxAttempts;
  }

  /** Returns whether any server was chosen. */
  hasTried(): boolean {
    return this.tried.size > 0;
  }

  /**
   * Replaces a reserved server that gets no requests any more, or is cold now;
   * the retry that was taken for it is used for the replacement.
   */
  private verifyReserved(reserved: ServerChoice): ServerChoice | undefined {
    const {job, tried, chooser} = this;
    return chooser.isStillUsable(job, reserved.server)
      ? reserved
      : chooser.choose(job, tried);
  }

  private choose(possibleRuns: number): ServerChoice | undefined {
    const {job, tried, retries} = this;
    if (possibleRuns >= job.route.maxAttempts) return undefined;
    if (tried.size === 0) return this.chooser.choose(job, tried);
    if (tried.size >= MAX_TRIED_SERVERS) return undefined;
    if (this.guard.isRefused(job.suspects)) return undefined;
    // The choice of an engine is recorded as the place of its prompt, so that
    // it is made only if a retry is left.
    if (!retries.isAvailable(job.service)) return undefined;
    const choice = this.chooser.choose(job, tried);
    if (choice !== undefined) retries.take(job.service);
    return choice;
  }
}

import {
  MemberState,
  type DaemonSettings,
  type EngineInFlight,
  type Member,
} from '@greengagecross/common';

/** Fields of a daemon's record that vary while it runs, besides its state. */
export interface SelfReport {
  readonly configurationRevision: number;
  readonly engines: readonly EngineInFlight[];
}

/**
 * The record that this daemon advertises about itself. Refutes wrong records
 * about this daemon that other daemons advertise.
 */
export class SelfRecord {
  private state = MemberState.JOINING;
  private stateVersion = 0;
  /** Raised with each change of {@link lastReport}. */
  private sequence = 0;
  private lastReport: SelfReport = {configurationRevision: 0, engines: []};
  private lastReportText = '';

  constructor(
    private readonly settings: DaemonSettings,
    private incarnation: number,
    private readonly reportSelf: () => SelfReport,
  ) {}

  /** Returns the state that this daemon advertises. */
  getState(): MemberState {
    return this.state;
  }

  /** Sets the state to advertise. */
  setState(state: MemberState): void {
    if (this.state === state) return;
    this.state = state;
    this.stateVersion += 1;
  }

  /** Returns this daemon's current record. */
  getMember(): Member {
    this.updateReport();
    const {id, region, availabilityZone} = this.settings;
    return {
      id,
      state: this.state,
      stateVersion: this.stateVersion,
      region,
      availabilityZone,
      callerAddress: this.settings.callerListener,
      controlAddress: this.settings.controlListener,
      incarnation: this.incarnation,
      sequence: this.sequence,
      ...this.lastReport,
    };
  }

  /**
   * Refutes a wrong record about this daemon by advertising a higher version,
   * and returns whether the record was wrong. A record is wrong if it marks
   * this daemon as a suspect (a daemon that others could not reach), or if an
   * earlier process made it and its incarnation is higher because the clock of
   * its host was ahead.
   */
  updateToRefute(update: Member): boolean {
    const {incarnation, stateVersion} = update;
    if (incarnation < this.incarnation) return false;
    if (incarnation > this.incarnation) {
      this.incarnation = incarnation + 1;
      return true;
    }
    const isOwnState =
      update.state === this.state && stateVersion <= this.stateVersion;
    if (isOwnState || stateVersion < this.stateVersion) return false;
    this.stateVersion = stateVersion + 1;
    return true;
  }

  private updateReport(): void {
    const report = this.reportSelf();
    const text = JSON.stringify(report);
    if (text === this.lastReportText) return;
    this.lastReport = report;
    this.lastReportText = text;
    this.sequence += 1;
  }
}

import {
  MemberState,
  type DaemonSettings,
  type EngineInFlight,
  type Member,
} from '@greengagecross/common';

/** What a daemon tells its peers beside its settings. */
export interface SelfReport {
  readonly configurationRevision: number;
  readonly engines: readonly EngineInFlight[];
}

/** What a daemon says of itself, and its answers to what others say of it. */
export class SelfRecord {
  private state = MemberState.JOINING;
  private stateVersion = 0;
  private sequence = 0;
  private reported: SelfReport = {configurationRevision: 0, engines: []};
  private reportedText = '';

  constructor(
    private readonly settings: DaemonSettings,
    private incarnation: number,
    private readonly reportSelf: () => SelfReport,
  ) {}

  /** Gets the state that this daemon announces. */
  getState(): MemberState {
    return this.state;
  }

  /** Announces another state from now on. */
  setState(state: MemberState): void {
    if (this.state === state) return;
    this.state = state;
    this.stateVersion += 1;
  }

  /** Gets the member that this daemon is. */
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
      ...this.reported,
    };
  }

  /**
   * Goes before what others say of this daemon where that is not so: that it
   * is suspect, or an earlier run of it whose host's clock was ahead.
   */
  observe(news: Member): boolean {
    const {incarnation, stateVersion} = news;
    if (incarnation < this.incarnation) return false;
    if (incarnation > this.incarnation) {
      this.incarnation = incarnation + 1;
      return true;
    }
    const isOwnWord =
      news.state === this.state && stateVersion <= this.stateVersion;
    if (isOwnWord || stateVersion < this.stateVersion) return false;
    this.stateVersion = stateVersion + 1;
    return true;
  }

  private updateReport(): void {
    const report = this.reportSelf();
    const text = JSON.stringify(report);
    if (text === this.reportedText) return;
    this.reported = report;
    this.reportedText = text;
    this.sequence += 1;
  }
}

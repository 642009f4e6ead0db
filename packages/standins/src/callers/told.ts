import type {Outcome} from '@greengagecross/common';

/** What a whole exchange told the caller. */
export interface Told {
  readonly outcome: Outcome | undefined;
  readonly isOwnWhole: boolean;
  /** Why it was refused or cut short, if it was. */
  readonly reason: string;
  readonly requestId: string;
  readonly ticket: string | undefined;
  /** Daemon to connect to for the chat's next turn. */
  readonly address: string | undefined;
  readonly firstTokenMs: number;
}

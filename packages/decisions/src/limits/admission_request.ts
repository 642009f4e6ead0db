import type {PriorityClass} from '@greengagecross/common';

/** A request that asks for room on one engine. */
export interface AdmissionRequest {
  readonly slotId: string;
  readonly customer: string;
  readonly priority: PriorityClass;
  /** When it gives up waiting, in milliseconds of the local clock. */
  readonly waitUntilMs: number;
}

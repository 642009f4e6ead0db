import type {PriorityClass} from '@greengagecross/common';

/** A request that asks for a slot on one engine. */
export interface AdmissionRequest {
  readonly slotId: string;
  readonly customer: string;
  readonly priority: PriorityClass;
  /** When the request stops waiting, in milliseconds since the epoch. */
  readonly waitUntilMs: number;
}

import type {Effect} from 'effect';
import {ObjectStore, type PlatformError} from '@greengagecross/platform';
import {listKeys} from '../platform/list_keys.js';
import type {StoreFaultPlan} from './store_fault_plan.js';

/** An object store in memory, with planned faults. */
export class PlannedObjects extends ObjectStore {
  readonly bodies = new Map<string, Buffer>();
  writtenBytes = 0;
  readBytes = 0;

  constructor(private readonly plan: StoreFaultPlan) {
    super();
  }

  override put(key: string, body: Buffer): Effect.Effect<void, PlatformError> {
    return this.plan.run('put', true, () => {
      this.writtenBytes += body.length;
      this.bodies.set(key, body);
    });
  }

  override get(key: string): Effect.Effect<Buffer | undefined, PlatformError> {
    return this.plan.run('get', false, () => {
      const body = this.bodies.get(key);
      this.readBytes += body?.length ?? 0;
      return body;
    });
  }

  override list(
    prefix: string,
    after: string,
    limit: number,
  ): Effect.Effect<readonly string[], PlatformError> {
    return this.plan.run('list', false, () =>
      listKeys(this.bodies.keys(), prefix, after, limit),
    );
  }

  override remove(key: string): Effect.Effect<void, PlatformError> {
    return this.plan.run('remove', true, () => {
      this.bodies.delete(key);
    });
  }
}

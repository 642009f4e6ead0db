import {Effect} from 'effect';
import {
  HostListSource,
  HostRole,
  HostState,
  PlatformError,
  PlatformFailure,
  type Host,
  type HostList,
} from '@greengagecross/platform';
import type {NodePlan} from './member_node.js';

/** A host list that a test sets, or makes unreadable. */
export class ShownHosts extends HostListSource {
  isDown = false;
  private list: HostList = {version: 0, hosts: []};

  /** Shows these hosts from now on. */
  setPlans(plans: readonly NodePlan[]): void {
    const hosts = plans.map(makeHost);
    this.list = {version: this.list.version + 1, hosts};
  }

  /** Shows this backend server as leaving, beside what is shown. */
  addLeaving(id: string): void {
    const hosts = [...this.list.hosts, {...makeBackend(id)}];
    this.list = {version: this.list.version + 1, hosts};
  }

  override fetch(): Effect.Effect<HostList, PlatformError> {
    return Effect.suspend(() =>
      this.isDown
        ? Effect.fail(new PlatformError(PlatformFailure.UNREACHABLE, 'hosts'))
        : Effect.succeed(this.list),
    );
  }
}

function makeHost(plan: NodePlan): Host {
  return {
    id: plan.id,
    role: HostRole.ENTRY,
    state: HostState.LIVE,
    region: 'centro',
    availabilityZone: plan.zone,
    host: plan.control.host,
    port: plan.control.port,
    controlPort: plan.control.port,
  };
}

function makeBackend(id: string): Host {
  return {
    id,
    role: HostRole.BACKEND,
    state: HostState.LEAVING,
    region: 'centro',
    availabilityZone: 'centro-a',
    host: '10.0.0.1',
    port: 1,
    controlPort: 0,
  };
}

import {findFirstByRendezvous} from '@greengagecross/common';
import {HttpEngineControl} from '@greengagecross/backend';
import {LeaseStore, LoadPermitStore} from '@greengagecross/platform';
import {OrderLeaseHolder} from '../orders/order_lease_holder.js';
import {OrderService} from '../orders/order_service.js';
import type {DaemonParts} from './daemon_parts.js';

/** Makes the service that sends orders to engines. */
export function makeOrderService(parts: DaemonParts): OrderService {
  const {settings, tuning, table, members, configuration, hosts} = parts;
  // The start time is the daemon's incarnation.
  const processName = `${settings.id}/${parts.startedAtMs}`;
  const periods = {
    leaseMs: tuning.orderLeaseMs,
    orderTimeoutMs: tuning.orderTimeoutMs,
  };
  const control = new HttpEngineControl(parts.backendClient, {
    connectTimeoutMs: Math.min(
      tuning.backendConnectTimeoutMs,
      tuning.orderTimeoutMs,
    ),
    silenceMs: tuning.orderTimeoutMs,
  });
  const leases = new LeaseStore(table);
  const permits = new LoadPermitStore(table);
  return new OrderService(
    {
      listServices: () => configuration.getView()?.listServices() ?? [],
      isPreferredDaemon: (service, nowMs) => {
        const live = members.listLive(nowMs).map(member => member.id);
        return findFirstByRendezvous(`orders ${service}`, live) === settings.id;
      },
      isLeaving: engine => hosts.isLeaving(engine),
      makeHolder: () =>
        new OrderLeaseHolder(processName, leases, permits, control, periods),
    },
    tuning.orderPollMs,
  );
}

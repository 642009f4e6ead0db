import {
  ClosureReason,
  processConnections,
  processTurns,
} from '@greengagecross/http';
import type {GaugeReader} from './router_metrics.js';

/** Lists the gauges of the connections that clients opened to this process. */
export function listConnectionGauges(): GaugeReader[] {
  return [
    {
      name: 'greengagecross_client_connections',
      help: 'Connections that are open on all listeners.',
      read: () => processConnections.countOpen(),
    },
    {
      name: 'greengagecross_client_held_bytes',
      help: 'Memory that connections of clients hold, about, in bytes.',
      read: () => processConnections.getHeldBytes(),
    },
    {
      name: 'greengagecross_connections_waiting',
      help: 'Connections whose requests wait for a turn of the event loop.',
      read: () => processTurns.countWaiting(),
    },
    {
      name: 'greengagecross_clients_closed_memory',
      help: 'Connections closed since all of them held too much memory.',
      read: () => processConnections.countClosures(ClosureReason.MEMORY),
    },
    {
      name: 'greengagecross_clients_closed_stalled',
      help: 'Connections closed since their clients read nothing of a response.',
      read: () => processConnections.countClosures(ClosureReason.STALLED),
    },
    {
      name: 'greengagecross_clients_closed_descriptors',
      help: 'Connections closed or refused since their listener had too many.',
      read: () => processConnections.countClosures(ClosureReason.DESCRIPTORS),
    },
  ];
}

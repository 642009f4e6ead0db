import type {ConfigurationPeer} from '../configuration/configuration_peers.js';
import type {HostFollower} from '../hosts/host_follower.js';
import type {MemberService} from '../members/member_service.js';

/**
 * Lists the other daemons that are live members or on the host list. Members
 * take precedence; a daemon on the host list that is no live member has
 * revision 0.
 */
export function listConfigurationPeers(
  selfId: string,
  members: MemberService,
  hosts: HostFollower,
  nowMs: number,
): ConfigurationPeer[] {
  const peers = new Map<string, ConfigurationPeer>();
  for (const host of hosts.listEntryHosts()) {
    const address = {host: host.host, port: host.controlPort};
    peers.set(host.id, {address, revision: 0});
  }
  for (const member of members.listLive(nowMs)) {
    peers.set(member.id, {
      address: member.controlAddress,
      revision: member.configurationRevision,
    });
  }
  peers.delete(selfId);
  return [...peers.values()];
}

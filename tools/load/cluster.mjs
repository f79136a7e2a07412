/** Where the controllers of a loopback run are, and what their settings files say. */
import * as net from 'node:net';

const freePort = () =>
  new Promise((done) => {
    const s = net.createServer();
    s.listen(0, '127.0.0.1', () => {
      const { port } = s.address();
      s.close(() => done(port));
    });
  });

/** So many controllers, in two zones by turns. */
export const places = async (count) => {
  const nodes = [];
  for (let i = 0; i < count; i++)
    nodes.push({
      label: `node-${i}`,
      zone: `zone-${i % 2}`,
      listen: `127.0.0.1:${await freePort()}`,
      peer: `127.0.0.1:${await freePort()}`,
    });
  return nodes;
};

export const settingsOf = (n, nodes, o) => `label = "${n.label}"
zone = "${n.zone}"
listen = "${n.listen}"
cluster_listen = "${n.peer}"
${nodes
  .filter((p) => p !== n)
  .map((p) => `[[others]]\nlabel = "${p.label}"\nzone = "${p.zone}"\npeer_addr = "${p.peer}"`)
  .join('\n')}
[services]
cloud = "${o.cloudAddress}"
state = "${o.stateAddress}"
[cluster]
nodes = ${nodes.length}
zones = ["zone-0", "zone-1"]
skew_ms = 5.0
[[cluster.teams]]
name = "crew"
[[cluster.objectives]]
kind = "finished"
class = "render"
within_s = 350.0
share = 0.99
[cluster.workers]
report_s = ${o.reportMs / 1000}
lease_s = ${o.leaseMs / 1000}
gang_wait_s = 35.0
gang_peer_s = 5.0
cancel_s = ${o.leaseMs / 1000 + 25}
[cluster.state]
rps = ${o.rps}.0
write_rps = ${o.writes}.0
value_kb = 32.0
txn_ops = 24
[cluster.cloud]
rps = 12.0
list_lag_s = 4.0
[cluster.machine_limits]
cores = ${o.cores}
memory_mb = 350.0
max_connections = 1945
`;

/** A submission: an array of so many tasks of one CPU, each running for about `runMs`. */
export const arrayJob = (id, tasks, runMs) =>
  JSON.stringify({
    id,
    jobClass: 'render',
    owner: 'crew',
    shape: 'array',
    urgency: 'low',
    pieces: tasks,
    vcpus: 1,
    accelerators: 0,
    memGb: 3,
    bundle: 'img-1',
    imageGb: 1,
    hostsKinds: null,
    room: null,
    samePlace: false,
    scatter: false,
    borrowed: false,
    expectS: runMs / 1000,
    saveEveryS: 0,
    saveTakesS: 0,
    dueS: 200,
  });

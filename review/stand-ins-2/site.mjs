/** Settings and machines of a small deployment, those of the site file oireachtas-minutes-eu1. */

const TEAM_NAMES = ['00', '01', '02', '03', '04', '05'].map((number) => `stenodesk-${number}`);

/** Returns the settings. `team` holds guarantee and limit of each team, `guests` further teams. */
export const dublinSettings = ({ team = {}, guests = [] } = {}) => ({
  nodes: 3,
  zones: ['kildarehall'],
  time_bound_ms: 100,
  teams: [...TEAM_NAMES.map((name) => ({ name, ...team })), ...guests].map((given) => ({
    cpus: 0,
    cpus_max: 0,
    gpus: 0,
    gpus_max: 0,
    ...given,
  })),
  objectives: [
    { kind: 'wait', class: 'aligngang', within_s: 25, share: 0.88 },
    { kind: 'finished', class: 'clipsweep', within_s: 180, share: 0.8 },
  ],
  workers: { report_s: 3, lease_s: 18, gang_wait_s: 50, gang_peer_s: 6, cancel_s: 38 },
  state: { rps: 250, write_rps: 25, value_kb: 8, txn_ops: 16 },
  cloud: { rps: 4, list_lag_s: 6 },
  quota: { cores: 0.425, memory_mb: 242, max_sockets: 1500 },
});

export const DUBLIN_TYPES = [
  {
    Label: 'liffeybox',
    Vcpus: 64,
    Cards: 8,
    MemGb: 384,
    CacheGb: 150,
    FetchGbPerS: 0.5,
    Price: 28.76,
    LowPrice: 6.85,
    BootS: 50,
    Sites: ['kildarehall'],
  },
];

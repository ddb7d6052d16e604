//! The service that lists machines and carries out orders for them.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http::Reply;
use crate::http::Request;
use crate::http::Server;
use crate::http::json;
use crate::json::Json;
use crate::minion::CAPACITY_CPU;
use crate::minion::Minion;
use crate::minion::Runs;
use crate::record::Record;
use crate::store::Store;

/// Time that a machine takes to move to another pool.
const MIGRATE_TIME: Duration = Duration::from_millis(1_500);

/// How the service answers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Orders are answered after this time; they are carried out at once.
    Answers(Duration),
    /// The service is down: it answers nothing and carries out nothing.
    Silent,
}

struct Machine {
    name: String,
    zone: String,
    pool: String,
    is_moving: bool,
    minion: Option<Arc<Minion>>,
    minions: u32,
}

/// An order that arrived.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: f64,
    pub machine: String,
    pub holder: String,
    pub fence: u64,
    pub pool: String,
    pub answer: &'static str,
}

/// The machines and the service for them.
pub struct Machines {
    machines: Mutex<Vec<Machine>>,
    mode: Mutex<Mode>,
    orders: Mutex<Vec<Order>>,
    standby: String,
    runs: Runs,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl Machines {
    /// Machines in one pool, each with a minion. Another pool is on standby.
    pub fn start(
        count: usize,
        pool: &str,
        standby: &str,
        runs: &Runs,
        record: &Arc<Record>,
        store: &Arc<Store>,
    ) -> Arc<Self> {
        let machines = Arc::new(Self {
            machines: Mutex::default(),
            mode: Mutex::new(Mode::Answers(Duration::ZERO)),
            orders: Mutex::default(),
            standby: standby.to_owned(),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
            store: Arc::clone(store),
        });
        for index in 0..count {
            let name = format!("m-{index:05x}");
            let zone = ["zone-a", "zone-b"][index % 2].to_owned();
            let pool = pool.to_owned();
            let mut machine =
                Machine { name, zone, pool, is_moving: false, minion: None, minions: 0 };
            machines.start_minion(&mut machine);
            machines.machines.lock().unwrap().push(machine);
        }
        machines
    }

    fn start_minion(&self, machine: &mut Machine) {
        machine.minions += 1;
        let id = format!("i-{}{:04x}", &machine.name[2..], machine.minions);
        let (pool, zone) = (&machine.pool, &machine.zone);
        machine.minion =
            Some(Minion::start(&id, pool, zone, &self.runs, &self.record, &self.store));
    }

    pub fn set_mode(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    pub fn minions(&self) -> Vec<Arc<Minion>> {
        let machines = self.machines.lock().unwrap();
        machines.iter().filter_map(|machine| machine.minion.clone()).collect()
    }

    /// Number of machines that are up in a pool.
    pub fn count_in(&self, pool: &str) -> usize {
        let machines = self.machines.lock().unwrap();
        machines.iter().filter(|machine| machine.pool == pool && !machine.is_moving).count()
    }

    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().unwrap().clone()
    }

    fn list(&self) -> Reply {
        let machines = self.machines.lock().unwrap();
        let rows = machines.iter().map(|machine| {
            let state = if machine.is_moving { "moving" } else { "up" };
            let id = machine.minion.as_ref().filter(|_| !machine.is_moving);
            let id = id.map_or("null".to_owned(), |minion| format!("\"{}\"", minion.id));
            let Machine { name, pool, zone, .. } = machine;
            format!(
                r#"{{"machine":"{name}","pool":"{pool}","state":"{state}","zone":"{zone}",
                "labels":["a","r1-1"],
                "capacity":{{"cpu":{CAPACITY_CPU},"mem_mb":131072,"gpu":0}},"id":{id}}}"#
            )
        });
        let rows: Vec<String> = rows.collect();
        json(200, format!(r#"{{"machines":[{}],"next_token":null}}"#, rows.join(",")))
    }

    fn move_machine(self: &Arc<Self>, name: &str, pool: &str) -> (u16, &'static str) {
        let mut machines = self.machines.lock().unwrap();
        let Some(machine) = machines.iter_mut().find(|machine| machine.name == name) else {
            return (400, "no such machine");
        };
        if machine.is_moving {
            return (409, "busy");
        }
        if machine.pool == pool {
            return (200, "already there");
        }
        machine.is_moving = true;
        machine.pool = pool.to_owned();
        if let Some(minion) = machine.minion.take() {
            minion.leave();
        }
        let (service, name) = (Arc::clone(self), name.to_owned());
        thread::spawn(move || {
            thread::sleep(MIGRATE_TIME);
            let mut machines = service.machines.lock().unwrap();
            let machine = machines.iter_mut().find(|machine| machine.name == name);
            let machine = machine.expect("machines stay");
            machine.is_moving = false;
            if machine.pool != service.standby {
                service.start_minion(machine);
            }
        });
        (200, "moved")
    }
}

/// The service behind its address.
pub struct MachineService(pub Arc<Machines>);

impl Server<()> for MachineService {
    fn opened(&self) {}

    fn answer(&self, (): &(), request: &Request) -> Reply {
        let Self(machines) = self;
        let mode = *machines.mode.lock().unwrap();
        let Mode::Answers(delay) = mode else {
            machines.record.write(&format!(
                "machine service is silent: {} {}",
                request.path,
                request.text()
            ));
            return Reply::Silence;
        };
        match request.path.as_str() {
            "/machines" => machines.list(),
            "/machine-move" => {
                let body = Json::parse(&request.text()).unwrap_or(Json::Null);
                let (machine, pool) = (body.text("machine"), body.text("pool"));
                let header = |name| request.header(name).unwrap_or_default().to_owned();
                let holder = header("x-cowslipport-duty-holder");
                let fence = header("x-cowslipport-fencing-token").parse().unwrap_or(0);
                let at = machines.record.now();
                let (status, answer) = machines.move_machine(&machine, &pool);
                machines.record.write(&format!(
                    "machine order: {machine} to {pool} from {holder} fence {fence}: \
                     {status} {answer}"
                ));
                let order = Order { at, machine, holder, fence, pool, answer };
                machines.orders.lock().unwrap().push(order);
                thread::sleep(delay);
                json(status, format!(r#"{{"reason":"{answer}"}}"#))
            }
            _ => json(404, "{}".to_owned()),
        }
    }
}

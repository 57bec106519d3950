//! How many leafs a query ends that ends each leaf which begins to run it, by shards, copies and
//! instances: with its first attempt, and with one more attempt at each instance afterwards.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::transport::http::Connection;
use camphorhold::transport::http::TcpOptions;
use camphorhold_testutils::platform::CONFIGURATION_KEY;
use camphorhold_testutils::platform::configuration;
use camphorhold_testutils::platform::leaf::Leaf;
use camphorhold_testutils::platform::process::Process;
use camphorhold_testutils::platform::process::ProcessConfig;
use camphorhold_testutils::platform::store::Store;
use clap::Args;
use futures::future::try_join_all;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::IntoFont;
use plotters::prelude::LineSeries;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::PathElement;
use plotters::prelude::SVGBackend;
use plotters::style::BLACK;
use plotters::style::Color;
use plotters::style::WHITE;

use crate::error::Error;
use crate::report::Report;
use crate::report::Table;

const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// A path that ends leafs, and one that does not, of the route to all shards.
const HARMFUL: &str = "/all/harmful";
const HARMLESS: &str = "/all/harmless";

const TCP_OPTIONS: TcpOptions = TcpOptions {
    connect_timeout: Duration::from_secs(1),
    user_timeout: Duration::from_secs(5),
    keepalive_interval: None,
};

/// How long the instances may take until they serve all shards.
const START_TIMEOUT: Duration = Duration::from_mins(1);

/// The time after the start within which the instances learn of each other.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The time after an attempt within which leafs end that have begun it.
const END_TIME: Duration = Duration::from_millis(300);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Target: the largest number of ended leafs beyond one of each shard, after all attempts.
const MAX_FURTHER_LEAFS: usize = 3;

const PLOT_SIZE: (u32, u32) = (800, 480);

/// The options of the experiment.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// The instance binary; the one in the directory of this program if absent.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// The numbers of shards.
    #[arg(long, value_delimiter = ',', default_value = "5,10,20,40")]
    pub shards: Vec<usize>,
    /// The numbers of leafs of each shard.
    #[arg(long, value_delimiter = ',', default_value = "2,3")]
    pub copies: Vec<usize>,
    /// The numbers of instances.
    #[arg(long, value_delimiter = ',', default_value = "1,7")]
    pub instances: Vec<usize>,
    /// How long a leaf runs the query before it ends.
    #[arg(long, default_value = "40ms", value_parser = humantime::parse_duration)]
    pub time_to_end: Duration,
    /// The file to write the results to, in JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// The file to write a plot to, in SVG.
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

/// One deployment that is measured.
#[derive(Clone, Copy, Debug)]
struct Case {
    shards: usize,
    copies: usize,
    instances: usize,
}

/// The leafs that have ended.
#[derive(Clone, Copy, Debug)]
struct Ended {
    leafs: usize,
    /// The shards without any leaf left.
    shards: usize,
}

struct World {
    store: Store,
    leafs: Vec<Leaf>,
    instances: Vec<Process>,
}

impl World {
    async fn start(case: Case, program: &Path) -> Result<Self, Error> {
        let store = Store::start().await?;
        let names: Vec<String> = (0..case.shards).map(|shard| format!("s{shard}")).collect();
        let mut leafs = Vec::new();
        for (shard, name) in names.iter().enumerate() {
            for copy in 0..case.copies {
                let domain = DOMAINS[(shard + copy) % DOMAINS.len()];
                leafs.push(Leaf::start(&format!("i-{shard}-{copy}"), name, domain).await?);
            }
        }
        // Shows in each domain that the links work when all other leafs have ended.
        for domain in DOMAINS {
            leafs.push(Leaf::start(&format!("other-{domain}"), "other", domain).await?);
        }
        for leaf in &leafs {
            store.put(&leaf.key(), &leaf.entry("ready"));
        }
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        store.put(CONFIGURATION_KEY, &configuration(1, &names));
        let mut instances = Vec::new();
        for number in 0..case.instances {
            instances.push(Process::start(ProcessConfig {
                program: program.into(),
                name: number.to_string(),
                domain: DOMAINS[number % DOMAINS.len()].into(),
                store: store.address(),
                log: None,
            })?);
        }
        let world = Self {
            store,
            leafs,
            instances,
        };
        world.warm_up().await?;
        Ok(world)
    }

    /// Waits until all instances know each other and serve all shards.
    async fn warm_up(&self) -> Result<(), Error> {
        let started = SystemClock.now();
        while self.store.count("camphorhold/instances/") < self.instances.len() {
            check_limit(started, "the registrations of the instances")?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        for instance in &self.instances {
            while !matches!(send(instance, HARMLESS).await, Ok(StatusCode::OK)) {
                check_limit(started, "answers of all shards")?;
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    fn ended(&self, case: Case) -> Ended {
        let has_ended = |leaf: &Leaf| leaf.ends() > 0;
        let copies = self.leafs.chunks(case.copies).take(case.shards);
        Ended {
            leafs: self.leafs.iter().filter(|leaf| has_ended(leaf)).count(),
            shards: copies.filter(|copies| copies.iter().all(has_ended)).count(),
        }
    }
}

fn check_limit(started: Instant, what: &'static str) -> Result<(), Error> {
    if SystemClock.now().saturating_duration_since(started) < START_TIMEOUT {
        return Ok(());
    }
    Err(Error::TimedOut {
        what,
        limit: START_TIMEOUT,
    })
}

/// Sends a query on a new connection and returns the status of its answer.
async fn send(instance: &Process, path: &str) -> Result<StatusCode, Error> {
    let mut connection = Connection::open(instance.caller_address(), TCP_OPTIONS).await?;
    let mut request = Request::new(Full::<Bytes>::default());
    *request.uri_mut() =
        hyper::Uri::try_from(path).map_err(|error| Error::File(error.to_string()))?;
    let headers = request.headers_mut();
    for (name, value) in [
        ("host", "q.example"),
        ("x-camphorhold-request-id", "blast-radius"),
        ("x-camphorhold-deadline-ms", "3000"),
    ] {
        headers.insert(name, hyper::header::HeaderValue::from_static(value));
    }
    Ok(connection.exchange(request, 1 << 20).await?.status())
}

/// Sends the harmful query once, then once more to all instances at the same time, and returns what has
/// ended after each.
async fn measure(case: Case, options: &Options, program: &Path) -> Result<[Ended; 2], Error> {
    let world = World::start(case, program).await?;
    for leaf in &world.leafs {
        leaf.set_poison(Some(HARMFUL));
        leaf.set_time_to_end(options.time_to_end);
    }
    if let Some(first) = world.instances.first() {
        send(first, HARMFUL).await?;
    }
    // The caller comes back at once; what the first attempt has begun ends meanwhile.
    let repeated = world
        .instances
        .iter()
        .map(|instance| send(instance, HARMFUL));
    let first = world.ended(case);
    try_join_all(repeated).await?;
    tokio::time::sleep(options.time_to_end + END_TIME).await;
    Ok([first, world.ended(case)])
}

/// Runs the experiment for each combination of shards, copies and instances.
pub async fn run(options: &Options) -> Result<(), Error> {
    let program = match &options.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()?.with_file_name("camphorhold-instance"),
    };
    let mut report = Report::new("blast-radius", format!("{options:?}"));
    let mut table = Table::new(
        "Leafs ended by a harmful query",
        &[
            "shards",
            "copies",
            "instances",
            "first",
            "all",
            "shards lost",
        ],
    );
    let mut series = Vec::new();
    let mut most_further = 0;
    for instances in &options.instances {
        for copies in &options.copies {
            let mut points = Vec::new();
            for shards in &options.shards {
                let case = Case {
                    shards: *shards,
                    copies: *copies,
                    instances: *instances,
                };
                let [first, all] = measure(case, options, &program).await?;
                let cells = [
                    case.shards,
                    case.copies,
                    case.instances,
                    first.leafs,
                    all.leafs,
                    all.shards,
                ];
                table.row(cells.iter().map(ToString::to_string).collect());
                points.push((case.shards, all.leafs));
                most_further = most_further.max(all.leafs.saturating_sub(case.shards));
            }
            let name = format!("{copies} copies, {instances} instances");
            series.push((name, points));
        }
    }
    report.table(table);
    report.target(
        format!("at most {MAX_FURTHER_LEAFS} leafs beyond one of each shard"),
        most_further,
        most_further <= MAX_FURTHER_LEAFS,
    );
    if let Some(path) = &options.plot {
        draw(path, &series).map_err(|error| Error::Plot(error.to_string()))?;
    }
    report.finish(options.json.as_deref())
}

/// Draws the ended leafs over the number of shards, with a line for one leaf of each shard.
fn draw(
    path: &Path,
    series: &[(String, Vec<(usize, usize)>)],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = series.iter().flat_map(|(_, points)| points);
    let largest = points.map(|(shards, leafs)| *shards.max(leafs)).max();
    let largest = largest.unwrap_or(1) + 1;
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Leafs ended by a harmful query",
            ("sans-serif", 20).into_font(),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(48)
        .build_cartesian_2d(0..largest, 0..largest)?;
    chart
        .configure_mesh()
        .x_desc("shards")
        .y_desc("leafs ended by all attempts")
        .draw()?;
    chart
        .draw_series(LineSeries::new(
            (0..=largest).map(|shards| (shards, shards)),
            BLACK.mix(0.4),
        ))?
        .label("one of each shard");
    for (number, (name, points)) in series.iter().enumerate() {
        let color = Palette99::pick(number).mix(1.0);
        chart
            .draw_series(
                LineSeries::new(points.iter().copied(), color.stroke_width(2)).point_size(3),
            )?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

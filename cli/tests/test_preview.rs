//! `preview` against a server that sends a fixed answer.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread::JoinHandle;

use support::TempFile;
use support::ToolRun;

const OWNER_REPLY: &str = r#"{"node":"edge-1","is_owner":true,"configuration_version":7,
"queue":"quotes","pool":"web","admission":"accepted","retry_after_ms":0,"no_placement":"",
"placement":{"capacity_cpu_milli":32000,"used_cpu_milli":30000,"waiting_cpu_milli":500,
"jobs_ahead":2,"organisation_used_cpu_milli":4000,"organisation_limit_cpu_milli":8000,
"organisation_weight":3,"is_over_limit":false,"waiting_tasks":1,
"chosen":[{"worker":"w-4","data_centre":"a","rack":"r-1","tasks":1,"free_cpu_milli":2000}],
"blocked":[{"reason":"full","count":1,"workers":["w-1"]}]}}"#;
const REFUSED_REPLY: &str = r#"{"node":"edge-2","configuration_version":7,"queue":"quotes",
"pool":"web","admission":"owner_busy","retry_after_ms":400,
"no_placement":"the job would be refused"}"#;
const QUESTION: &str = "preview --host q.example --path /quotes/ --tasks 2 --cpu-milli 2000";

/// Answers one request with a status and a body.
fn serve_once(status: &'static str, body: &'static str) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = Vec::new();
        let mut part = [0; 4_096];
        while !request.ends_with(b"}") {
            let length = stream.read(&mut part).expect("the request");
            request.extend_from_slice(&part[..length]);
        }
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("the head is sent");
        stream.write_all(body.as_bytes()).expect("the body is sent");
        String::from_utf8_lossy(&request).into_owned()
    });
    (address, server)
}

fn output(status: &'static str, body: &'static str, format: &str) -> (String, String) {
    let (address, server) = serve_once(status, body);
    let token = TempFile::new("token", b"secret\n");
    let command = format!("{QUESTION} {format} --node {address} --token-file");
    let output = ToolRun::new(&command).file(&token).output();
    (output, server.join().expect("the server ends"))
}

/// Guards against an answer that leaves out the choice, the reasons or the order.
#[test]
fn answer_of_the_owner_is_printed() {
    let (text, request) = output("200 OK", OWNER_REPLY, "");
    insta::assert_snapshot!(text, @r#"
status 0
-- stdout
node edge-1 (owner), version 7
admission: accepted
queue quotes in pool web
pool: 30000 of 32000 milli-cores used, 500 waiting; 2 jobs ahead
organisation: 4000 milli-cores used, weight 3, limit 8000
tasks that find no worker now: 1
WORKER  DATA CENTRE  RACK  TASKS  FREE MILLI-CORES
w-4     a            r-1   1      2000
REASON AGAINST  WORKERS  SOME OF THEM
full            1        w-1
-- stderr
"#);
    assert!(request.contains("authorization: Bearer secret"), "{request}");
    assert!(request.ends_with(r#""max_tasks_per_worker":0,"long_running":false}"#), "{request}");
}

/// Guards against a refusal without the time to come back.
#[test]
fn refusal_is_printed_with_its_delay() {
    insta::assert_snapshot!(output("200 OK", REFUSED_REPLY, "").0, @r#"
status 0
-- stdout
node edge-2 (not the owner), version 7
admission: owner_busy, come back after 400 ms
queue quotes in pool web
no placement: the job would be refused
-- stderr
"#);
    insta::assert_snapshot!(output("200 OK", REFUSED_REPLY, "--format json").0, @r#"
status 0
-- stdout
{"node":"edge-2","is_owner":false,"configuration_version":7,"queue":"quotes","pool":"web","admission":"owner_busy","retry_after_ms":400,"placement":null,"no_placement":"the job would be refused"}
-- stderr
"#);
}

/// Guards against a wrong token that looks like another failure.
#[test]
fn wrong_token_is_reported() {
    let body = r#"{"error":"token is missing or wrong"}"#;
    insta::assert_snapshot!(output("401 Unauthorized", body, "").0, @r#"
status 7
-- stdout
-- stderr
error: the server refused the operators' token: token is missing or wrong
next: check the file or variable that holds the operators' token; a withdrawn operators' token must be replaced
"#);
}

use super::*;

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    values.iter().map(|&(size, value)| Point { size, value }).collect()
}

#[test]
fn a_line_is_found_with_its_error() {
    let exact = fit(&points(&[(1.0, 5.0), (2.0, 7.0), (3.0, 9.0), (10.0, 23.0)])).unwrap();
    assert!((exact.slope - 2.0).abs() < 1e-9 && (exact.intercept - 3.0).abs() < 1e-9);
    assert!(exact.slope_error < 1e-9 && exact.residual < 1e-9);
    assert!((exact.at(100.0) - 203.0).abs() < 1e-6);
    let rough = fit(&points(&[(1.0, 1.0), (2.0, 4.0), (3.0, 1.0), (4.0, 4.0)])).unwrap();
    assert!(0.3 < rough.slope_error && 0.3 < rough.residual, "{rough:?}");
}

#[test]
fn too_few_points_give_no_line() {
    assert_eq!(fit(&points(&[(1.0, 1.0), (2.0, 2.0)])), None);
    assert_eq!(fit(&points(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)])), None);
}

#[test]
fn every_role_is_measured_and_the_page_takes_the_tables() {
    let mut named = Vec::new();
    let report = run(Scale::Quick, |name| named.push(name.to_owned()));
    let roles: Vec<_> = report.roles.iter().map(|role| role.role.to_owned()).collect();
    assert_eq!(named[1..named.len() - 1], roles);
    for role in &report.roles {
        for figure in &role.figures {
            assert!(4 <= figure.points.len(), "{}: {}", role.role, figure.name);
        }
    }
    let page = "# Page\n<!-- measured: begin -->\nstale tables\n<!-- measured: end -->\nrest\n";
    let spliced = splice(page, &report).unwrap();
    assert!(spliced.starts_with("# Page\n") && spliced.ends_with("\nrest\n"));
    assert!(!spliced.contains("stale tables") && spliced.contains("### Slopes"));
    assert!(splice("# no markers", &report).is_err());
}
